package brooklock.authorization;

/** Usage and demand of one tenant. Mutable; owned by its {@link TenantLimiter}. */
final class TenantUsage {
    // Bursts of up to a second's worth of the tenant's own limits pass.
    private static final double TENANT_BURST_SECONDS = 1;
    // Much less of its fair share: spent in one burst at the start of an interval most of it would
    // be rejected behind, and the measured capacity, which fair shares are derived from, would
    // shrink to nothing.
    private static final double FAIR_SHARE_BURST_SECONDS = 0.05;

    final TokenBucket requestBucket = new TokenBucket(TENANT_BURST_SECONDS);
    final TokenBucket byteBucket = new TokenBucket(TENANT_BURST_SECONDS);
    final TokenBucket fairShareBucket = new TokenBucket(FAIR_SHARE_BURST_SECONDS);

    /** The tenant as the newest policy describes it. */
    Tenant tenant;

    /** Requests in flight. */
    int inFlight;

    /** Requests of the current interval. */
    double requested;

    /** Requests of the current interval that were admitted. */
    double admitted;

    /** Requests per interval, smoothed. */
    double demand;

    /** Fair share in requests per interval; infinite while the tenant is not held to it. */
    double fairShare = Double.POSITIVE_INFINITY;

    TenantUsage(Tenant tenant) {
        this.tenant = tenant;
    }
}
