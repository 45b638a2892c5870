package brooklock.authorization;

/**
 * A token bucket that may be overdrawn by a cost that is known only afterwards, such as the bytes
 * of a response. A new bucket is full. Not thread-safe.
 */
final class TokenBucket {
    private final double capacitySeconds;
    // NaN until the first refill, which sets the capacity from the rate.
    private double tokens = Double.NaN;
    private long refilledAtNs;

    /**
     * Creates a new, full bucket.
     *
     * @param capacitySeconds the time in which an empty bucket is filled, in seconds; the capacity
     *     is the refill rate multiplied by it, but at least one token
     */
    TokenBucket(double capacitySeconds) {
        this.capacitySeconds = capacitySeconds;
    }

    /** Refills the bucket up to now, and returns whether it is neither empty nor overdrawn. */
    boolean hasTokens(double ratePerSecond, long nowNs) {
        refill(ratePerSecond, nowNs);
        return tokens > 0;
    }

    /** Refills the bucket up to now, and returns whether it contains at least one token. */
    boolean hasWholeToken(double ratePerSecond, long nowNs) {
        refill(ratePerSecond, nowNs);
        return tokens >= 1;
    }

    private void refill(double ratePerSecond, long nowNs) {
        double capacity = Math.max(1, ratePerSecond * capacitySeconds);
        // A clock that goes back adds no tokens.
        double added = Math.max(0, nowNs - refilledAtNs) / 1e9 * ratePerSecond;
        tokens = Double.isNaN(tokens) ? capacity : Math.min(capacity, tokens + added);
        refilledAtNs = Math.max(refilledAtNs, nowNs);
    }

    void consume(double count) {
        tokens -= count;
    }

    /** Returns the time until {@link #hasTokens} returns true, in ns; 0 if it would now. */
    long nanosUntilAvailable(double ratePerSecond) {
        return tokens > 0 ? 0 : (long) (-tokens / ratePerSecond * 1e9) + 1;
    }
}
