package brooklock.authorization;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Admits requests of tenants within their own limits and, under overload, within their fair shares.
 * Rejected requests never reach the router. Not thread-safe: the routing thread owns it.
 */
public final class TenantLimiter {
    // The minimum of a fair share, without which a tenant could be starved under overload.
    private static final double MIN_FAIR_RATE_PER_SECOND = 4;

    /**
     * The result of an admission attempt.
     *
     * @param reason {@link Reason#ADMITTED}, or the reason for the rejection
     * @param retryAfterNs the time after which a rejected request may be retried, in ns; 0 if the
     *     request is admitted
     */
    public record Admission(Reason reason, long retryAfterNs) {
        /** Returns whether the request is admitted. */
        public boolean admitted() {
            return reason == Reason.ADMITTED;
        }
    }

    /** The results of an admission attempt; their names are part of the Proxy-Status field. */
    public enum Reason {
        /** The request is admitted. */
        ADMITTED(200),
        /** The tenant exceeds its own request rate. */
        RATE(429),
        /** The tenant exceeds its own number of requests in flight. */
        CONCURRENT(429),
        /** The tenant exceeds its own rate of response bytes. */
        BYTES(429),
        /** The dispatcher is overloaded, and the tenant exceeds its fair share. */
        SHARE(503);

        private final int httpStatus;

        Reason(int httpStatus) {
            this.httpStatus = httpStatus;
        }

        /** Returns the HTTP status of the response. */
        public int httpStatus() {
            return httpStatus;
        }
    }

    private static final Admission ADMITTED = new Admission(Reason.ADMITTED, 0);

    private final Map<String, TenantUsage> usageByTenant = new HashMap<>();
    private final OverloadControl overload = new OverloadControl();

    /**
     * Replaces the tenants with those of a new policy. The usage of a tenant is kept if the new
     * policy contains the tenant or if the tenant has requests in flight.
     */
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

    /**
     * Returns whether a tenant is in the newest policy, or was removed while it had requests in
     * flight.
     */
    public boolean isKnown(String tenant) {
        return usageByTenant.containsKey(tenant);
    }

    /**
     * Tries to admit a request. An admitted request is in flight until {@link #release} is called.
     *
     * @param nowNs monotonic time, in ns
     * @throws IllegalArgumentException if the tenant is not known; see {@link #isKnown}
     */
    public Admission tryAcquire(String tenantName, long nowNs) {
        overload.advance(usageByTenant.values(), nowNs);
        TenantUsage usage = usageByTenant.get(tenantName);
        if (usage == null) {
            throw new IllegalArgumentException(
                    "expected a known tenant but received '" + tenantName + "'");
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
     * Releases a request that has completed. Must be called exactly once for each admitted request.
     *
     * @param bytes the size of its response, in bytes
     * @param rejectedByRouter whether the router rejected it for lack of capacity
     */
    public void release(String tenant, long bytes, boolean rejectedByRouter) {
        TenantUsage usage = usageByTenant.get(tenant);
        usage.inFlight--;
        usage.byteBucket.consume((double) bytes);
        overload.recordOutcome(rejectedByRouter);
    }

    /** Returns the number of requests of a tenant in flight; 0 for an unknown tenant. */
    public int inFlight(String tenant) {
        TenantUsage usage = usageByTenant.get(tenant);
        return usage == null ? 0 : usage.inFlight;
    }

    /** Returns whether the dispatcher is overloaded, so that fair shares apply. */
    public boolean isOverloaded() {
        return overload.isOverloaded();
    }
}
