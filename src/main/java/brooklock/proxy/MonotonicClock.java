package brooklock.proxy;

/** The module's time: the process's monotonic clock, ns. */
public final class MonotonicClock {
    // The module's clock at the start, ns: what happened up to an hour before still has a time
    // above 0.
    private static final long START_OFFSET_NS = 3600_000_000_000L;

    private final long originNs = System.nanoTime() - START_OFFSET_NS;

    /** Now, ns. */
    public long nowNs() {
        return System.nanoTime() - originNs;
    }

    /** A reading of {@link System#nanoTime} in the module's time. */
    public long fromNanoTime(long nanoTime) {
        return nanoTime - originNs;
    }

    /**
     * A moment of wall time, ms since 1970, in the module's time; never later than now, 1 for very
     * long ago.
     */
    public long fromWallMs(long wallMs) {
        long ageMs = Math.max(0, System.currentTimeMillis() - wallMs);
        return Math.max(1, nowNs() - Math.min(ageMs, START_OFFSET_NS / 1_000_000) * 1_000_000);
    }
}
