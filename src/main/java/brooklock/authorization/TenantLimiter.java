package brooklock.authorization;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Admits tenants' requests by their own limits and, under overload, by their fair shares. What is
 * rejected here never reaches the router. Not thread-safe: the routing thread owns it.
 */
public final class TenantLimiter {
    // Below this rate a tenant is never held back: a share of next to nothing is not fair to
    // anybody.
    private static final double MIN_FAIR_RATE_PER_SECOND = 4;

    /**
     * Whether a request is admitted.
     *
     * @param reason why, or why not
     * @param retryAfterNs when a rejected request may be sent again, in ns from now; 0 if admitted
     */
    public record Admission(Reason reason, long retryAfterNs) {
        /** Whether the request may go on. */
        public boolean admitted() {
            return reason == Reason.ADMITTED;
        }
    }

    /** Why a request is admitted or rejected. The names are part of the Proxy-Status field. */
    public enum Reason {
        /** It is admitted. */
        ADMITTED(200),
        /** Over the tenant's own request rate. */
        RATE(429),
        /** Over the tenant's own number of requests in flight. */
        CONCURRENT(429),
        /** Over the tenant's own byte rate. */
        BYTES(429),
        /** The dispatcher is overloaded, and the tenant's fair share is used up. */
        SHARE(503);

        private final int httpStatus;

        Reason(int httpStatus) {
            this.httpStatus = httpStatus;
        }

        /** The HTTP status of the response. */
        public int httpStatus() {
            return httpStatus;
        }
    }

    private static final Admission ADMITTED = new Admission(Reason.ADMITTED, 0);

    private final Map<String, TenantUsage> usageByTenant = new HashMap<>();
    private final OverloadControl overload = new OverloadControl();

    /** Replaces the tenants by those of a new policy; the usage of those that stay is kept. */
    public void setTenants(List<Tenant> tenants) {
        Map<String, Tenant> current = new HashMap<>();
        tenants.forEach(tenant -> current.put(tenant.name(), tenant));
        usageByTenant
                .values()
                .removeIf(
                        usage -> !current.containsKey(usage.tenant.name()) && usage.inFlight == 0);
        current.forEach(
                (name, tenant) ->
                        usageByTenant.computeIfAbsent(name, key -> new TenantUsage(tenant)).tenant =
                                tenant);
    }

    /** Whether a tenant is in the newest policy, or still has requests in flight. */
    public boolean isKnown(String tenant) {
        return usageByTenant.containsKey(tenant);
    }

    /**
     * Asks for the admission of a request. If it is admitted, it is in flight until {@link
     * #release}.
     *
     * @throws IllegalArgumentException if the tenant is not known
     */
    public Admission tryAcquire(String tenantName, long nowNs) {
        overload.advance(usageByTenant.values(), nowNs);
        TenantUsage usage = usageByTenant.get(tenantName);
        if (usage == null) {
            throw new IllegalArgumentException("no tenant " + tenantName);
        }
        usage.requested++;
        Tenant tenant = usage.tenant;
        if (tenant.maxInFlight() > 0 && usage.inFlight >= tenant.maxInFlight()) {
            return new Admission(Reason.CONCURRENT, OverloadControl.INTERVAL_NS);
        }
        double rate = tenant.requestsPerSecond();
        if (rate > 0 && !usage.requestBucket.hasTokens(rate, nowNs)) {
            return new Admission(Reason.RATE, usage.requestBucket.nanosUntilAvailable(rate));
        }
        double byteRate = tenant.bytesPerSecond();
        if (byteRate > 0 && !usage.byteBucket.hasTokens(byteRate, nowNs)) {
            return new Admission(Reason.BYTES, usage.byteBucket.nanosUntilAvailable(byteRate));
        }
        if (overload.isOverloaded() && usage.fairShare < Double.POSITIVE_INFINITY) {
            double fairRate =
                    Math.max(
                            MIN_FAIR_RATE_PER_SECOND,
                            usage.fairShare * 1e9 / OverloadControl.INTERVAL_NS);
            if (!usage.fairShareBucket.hasWholeToken(fairRate, nowNs)) {
                return new Admission(Reason.SHARE, overload.nanosUntilNextInterval(nowNs));
            }
            usage.fairShareBucket.consume(1);
        }
        usage.admitted++;
        usage.requestBucket.consume(1);
        usage.inFlight++;
        return ADMITTED;
    }

    /**
     * Releases an admitted request that has ended.
     *
     * @param bytes bytes of its response
     * @param rejectedByRouter whether the router rejected it for lack of capacity
     */
    public void release(String tenant, long bytes, boolean rejectedByRouter) {
        TenantUsage usage = usageByTenant.get(tenant);
        usage.inFlight--;
        usage.byteBucket.consume((double) bytes);
        overload.recordOutcome(rejectedByRouter);
    }

    /** Requests of a tenant in flight. */
    public int inFlight(String tenant) {
        TenantUsage usage = usageByTenant.get(tenant);
        return usage == null ? 0 : usage.inFlight;
    }

    /** Whether tenants are held to their fair shares now. */
    public boolean isOverloaded() {
        return overload.isOverloaded();
    }
}
