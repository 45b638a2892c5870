package brooklock.authorization;

/**
 * A budget that fills evenly and holds some time's worth; it may be overdrawn by what was not known
 * beforehand.
 */
final class TokenBucket {
    private final double capacitySeconds;
    private double tokens = Double.NaN;
    private long refilledAtNs;

    /** What is saved up lasts so long at most, s; one whole thing may always be. */
    TokenBucket(double holdsS) {
        this.capacitySeconds = holdsS;
    }

    /** Fills up to now and says whether something is there. */
    boolean hasTokens(double perSecond, long nowNs) {
        refill(perSecond, nowNs);
        return tokens > 0;
    }

    /** Fills up to now and says whether a whole thing is there. */
    boolean hasWholeToken(double perSecond, long nowNs) {
        refill(perSecond, nowNs);
        return tokens >= 1;
    }

    private void refill(double perSecond, long nowNs) {
        double most = Math.max(1, perSecond * capacitySeconds);
        // A clock that stands or goes back fills nothing.
        double gained = Math.max(0, nowNs - refilledAtNs) / 1e9 * perSecond;
        tokens = Double.isNaN(tokens) ? most : Math.min(most, tokens + gained);
        refilledAtNs = Math.max(refilledAtNs, nowNs);
    }

    void consume(double n) {
        tokens -= n;
    }

    /** Time until something is there, ns. */
    long nanosUntilAvailable(double perSecond) {
        return tokens > 0 ? 0 : (long) (-tokens / perSecond * 1e9) + 1;
    }
}
