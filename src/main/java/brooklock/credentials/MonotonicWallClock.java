package brooklock.credentials;

/**
 * Wall time that never goes back: set back by minutes, the system's clock would make credentials
 * valid again that have ended. It goes on by the monotonic clock then, and follows the system's
 * clock where that is ahead. Not for several threads.
 */
public final class MonotonicWallClock {
    /** Where wall time comes from. */
    public interface MillisClock {
        /** ms since 1970. */
        long nowMs();
    }

    private final MillisClock wall;
    private final MillisClock monotonic;
    private long anchorWallMs;
    private long anchorMonotonicMs;

    /** The system's clocks. */
    public MonotonicWallClock() {
        this(System::currentTimeMillis, () -> System.nanoTime() / 1_000_000);
    }

    /** Clocks of one's own. */
    public MonotonicWallClock(MillisClock wall, MillisClock monotonic) {
        this.wall = wall;
        this.monotonic = monotonic;
        anchorWallMs = wall.nowMs();
        anchorMonotonicMs = monotonic.nowMs();
    }

    /** Now, ms since 1970. */
    public long nowMs() {
        long at = monotonic.nowMs();
        long steady = anchorWallMs + at - anchorMonotonicMs;
        long now = wall.nowMs();
        if (now > steady) {
            anchorWallMs = now;
            anchorMonotonicMs = at;
            return now;
        }
        return steady;
    }
}
