package brooklock.credentials;

/**
 * A wall clock that never goes back. If it followed a system clock that is set back, expired
 * credentials would be valid again. After such a change it advances with the monotonic clock until
 * the system clock is ahead again. Not thread-safe.
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
     * @param wallClock the wall time since 1970, which may go back
     * @param monotonicClock a time that never goes back, from an arbitrary origin
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
