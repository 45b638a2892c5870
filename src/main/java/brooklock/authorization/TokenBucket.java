package brooklock.authorization;

/**
 * A token bucket that may be overdrawn by a cost that is known only afterwards, such as the bytes
 * of a response. It begins full. Not thread-safe.
 */
final class TokenBucket {
    private final double capacitySeconds;
    // NaN until the first refill, because the capacity depends on the rate.
    private double tokens = Double.NaN;
    private long refilledAtNs;

    /**
     * Creates a bucket.
     *
     * @param capacitySeconds how long, in seconds, it fills until it is full; it always holds at
     *     least one token
     */
    TokenBucket(double capacitySeconds) {
        this.capacitySeconds = capacitySeconds;
    }

    /** Refills up to now and returns whether the bucket is not overdrawn. */
    boolean hasTokens(double ratePerSecond, long nowNs) {
        refill(ratePerSecond, nowNs);
        return tokens > 0;
    }

    /** Refills up to now and returns whether there is a whole token. */
    boolean hasWholeToken(double ratePerSecond, long nowNs) {
        refill(ratePerSecond, nowNs);
        return tokens >= 1;
    }

    private void refill(double ratePerSecond, long nowNs) {
        double capacity = Math.max(1, ratePerSecond * capacitySeconds);
        // A clock that stands still or goes back adds nothing.
        double added = Math.max(0, nowNs - refilledAtNs) / 1e9 * ratePerSecond;
        tokens = Double.isNaN(tokens) ? capacity : Math.min(capacity, tokens + added);
        refilledAtNs = Math.max(refilledAtNs, nowNs);
    }

    void consume(double count) {
        tokens -= count;
    }

    /** Time until the bucket is no longer overdrawn, in ns. */
    long nanosUntilAvailable(double ratePerSecond) {
        return tokens > 0 ? 0 : (long) (-tokens / ratePerSecond * 1e9) + 1;
    }
}
