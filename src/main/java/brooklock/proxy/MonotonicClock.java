package brooklock.proxy;

/**
 * The clock for all times in a dispatcher, based on the monotonic clock of the process and counted
 * in ns. Immutable and thread-safe.
 *
 * <p>Wall-clock times are converted when they are received, so that a later change of the wall
 * clock has no effect.
 */
public final class MonotonicClock {
    // The time on this clock when it is created. Events up to one hour earlier still have a time
    // above 0, which is necessary because the time 0 means "never".
    private static final long START_OFFSET_NS = 3600_000_000_000L;

    private final long originNs = System.nanoTime() - START_OFFSET_NS;

    /** Returns the current time in ns. */
    public long nowNs() {
        return System.nanoTime() - originNs;
    }

    /** Converts a value of {@link System#nanoTime} to a time on this clock, in ns. */
    public long fromNanoTime(long nanoTime) {
        return nanoTime - originNs;
    }

    /**
     * Converts a wall-clock time.
     *
     * @param wallMs the time in ms since 1970
     * @return the time on this clock, in ns; at most the current time and at least 1
     */
    public long fromWallMs(long wallMs) {
        long ageMs = Math.max(0, System.currentTimeMillis() - wallMs);
        return Math.max(1, nowNs() - Math.min(ageMs, START_OFFSET_NS / 1_000_000) * 1_000_000);
    }
}
