package brooklock.authorization;

/**
 * The usage and demand of one tenant. Mutable and not thread-safe; owned by a {@link
 * TenantLimiter}.
 */
final class TenantUsage {
    // The tenant's own limits admit bursts of up to one second of the configured rate.
    private static final double TENANT_BURST_SECONDS = 1;
    // Bursts within the fair share are much shorter. If a tenant spent its share in one burst at
    // the start of an interval, the router would reject most of it, and the measured capacity, from
    // which the fair shares are derived, would shrink towards zero.
    private static final double FAIR_SHARE_BURST_SECONDS = 0.05;

    final TokenBucket requestBucket = new TokenBucket(TENANT_BURST_SECONDS);
    final TokenBucket byteBucket = new TokenBucket(TENANT_BURST_SECONDS);
    final TokenBucket fairShareBucket = new TokenBucket(FAIR_SHARE_BURST_SECONDS);

    /** The tenant as described by the newest policy that contains it. */
    Tenant tenant;

    /** The number of requests in flight. */
    int inFlight;

    /** The number of requests in the current interval, admitted or not. */
    double requested;

    /** The number of admitted requests in the current interval. */
    double admitted;

    /** The moving average of requests per interval. */
    double demand;

    /** The fair share in requests per interval; infinite while it is not enforced. */
    double fairShare = Double.POSITIVE_INFINITY;

    TenantUsage(Tenant tenant) {
        this.tenant = tenant;
    }
}
