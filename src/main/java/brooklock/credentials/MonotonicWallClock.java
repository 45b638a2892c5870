package brooklock.credentials;

/**
 * A wall clock that never goes back. While the system clock is behind because it was set back, this
 * clock advances with the monotonic clock. Otherwise expired credentials would become valid again.
 * Not thread-safe.
 */
public final class MonotonicWallClock {
    /** A source of time in ms. */
    public interface MillisClock {
        /** Returns the current time, in ms. */
        long nowMs();
    }

    private final MillisClock wallClock;
    private final MillisClock monotonicClock;
    private long referenceWallMs;
    private long referenceMonotonicMs;

    /** Creates a new clock based on the system's clocks. */
    public MonotonicWallClock() {
        this(System::currentTimeMillis, () -> System.nanoTime() / 1_000_000);
    }

    /**
     * Creates a new clock based on the given clocks.
     *
     * @param wallClock returns ms since 1970; may be set back
     * @param monotonicClock returns ms since an arbitrary origin; never goes back
     */
    public MonotonicWallClock(MillisClock wallClock, MillisClock monotonicClock) {
        this.wallClock = wallClock;
        this.monotonicClock = monotonicClock;
        referenceWallMs = wallClock.nowMs();
        referenceMonotonicMs = monotonicClock.nowMs();
    }

    /** Returns the current time, in ms since 1970; never less than an earlier result. */
    public long nowMs() {
        long monotonicMs = monotonicClock.nowMs();
        long expectedMs = referenceWallMs + monotonicMs - referenceMonotonicMs;
        long wallMs = wallClock.nowMs();
        if (wallMs > expectedMs) {
            referenceWallMs = wallMs;
            referenceMonotonicMs = monotonicMs;
            return wallMs;
        }
        return expectedMs;
    }
}
