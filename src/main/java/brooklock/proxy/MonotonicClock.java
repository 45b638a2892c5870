package brooklock.proxy;

/**
 * The clock of all times in a dispatcher: the monotonic clock of the process, in ns. Immutable; any
 * thread may read it.
 *
 * <p>Wall times are converted where they enter, so that setting the wall clock moves nothing.
 */
public final class MonotonicClock {
    // Reading at the start: what happened up to an hour before still has a time above 0, which
    // stands for "never".
    private static final long START_OFFSET_NS = 3600_000_000_000L;

    private final long originNs = System.nanoTime() - START_OFFSET_NS;

    /** Returns the present time, ns. */
    public long nowNs() {
        return System.nanoTime() - originNs;
    }

    /** Converts a reading of {@link System#nanoTime}. */
    public long fromNanoTime(long nanoTime) {
        return nanoTime - originNs;
    }

    /**
     * Converts a wall time.
     *
     * @param wallMs ms since 1970
     * @return the time on this clock, ns; never in the future, and 1 for very long ago
     */
    public long fromWallMs(long wallMs) {
        long ageMs = Math.max(0, System.currentTimeMillis() - wallMs);
        return Math.max(1, nowNs() - Math.min(ageMs, START_OFFSET_NS / 1_000_000) * 1_000_000);
    }
}
