package brooklock.credentials;

/**
 * Wall time that never goes back. If the system's clock were set back and believed, expired
 * credentials would be valid again. Meanwhile the time goes on by the monotonic clock, until the
 * system's clock is ahead again. Not thread-safe.
 */
public final class MonotonicWallClock {
    /** A clock. */
    public interface MillisClock {
        /** The time, in ms. */
        long nowMs();
    }

    private final MillisClock wall;
    private final MillisClock monotonic;
    private long anchorWallMs;
    private long anchorMonotonicMs;

    /** Creates a clock from the system's clocks. */
    public MonotonicWallClock() {
        this(System::currentTimeMillis, () -> System.nanoTime() / 1_000_000);
    }

    /**
     * Creates a clock from others.
     *
     * @param wall wall time, since 1970
     * @param monotonic a time that never goes back, from any origin
     */
    public MonotonicWallClock(MillisClock wall, MillisClock monotonic) {
        this.wall = wall;
        this.monotonic = monotonic;
        anchorWallMs = wall.nowMs();
        anchorMonotonicMs = monotonic.nowMs();
    }

    /** The time, in ms since 1970. */
    public long nowMs() {
        long monotonicMs = monotonic.nowMs();
        long expectedMs = anchorWallMs + monotonicMs - anchorMonotonicMs;
        long wallMs = wall.nowMs();
        if (wallMs > expectedMs) {
            anchorWallMs = wallMs;
            anchorMonotonicMs = monotonicMs;
            return wallMs;
        }
        return expectedMs;
    }
}
