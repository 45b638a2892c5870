package brooklock.credentials;

/**
 * Wall time that never goes back: set back by minutes, the system's clock would make credentials
 * valid again that have ended. It goes on by the monotonic clock then, and follows the system's
 * clock where that is ahead. Not for several threads.
 */
public final class WallClock {
    /** Where wall time comes from. */
    public interface Source {
        /** ms since 1970. */
        long ms();
    }

    private final Source wall;
    private final Source monotonic;
    private long anchorMs;
    private long anchorAt;

    /** The system's clocks. */
    public WallClock() {
        this(System::currentTimeMillis, () -> System.nanoTime() / 1_000_000);
    }

    /** Clocks of one's own. */
    public WallClock(Source wall, Source monotonic) {
        this.wall = wall;
        this.monotonic = monotonic;
        anchorMs = wall.ms();
        anchorAt = monotonic.ms();
    }

    /** Now, ms since 1970. */
    public long ms() {
        long at = monotonic.ms();
        long steady = anchorMs + at - anchorAt;
        long now = wall.ms();
        if (now > steady) {
            anchorMs = now;
            anchorAt = at;
            return now;
        }
        return steady;
    }
}
