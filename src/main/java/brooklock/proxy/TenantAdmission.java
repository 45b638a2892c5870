package brooklock.proxy;

import brooklock.authorization.Policy;
import brooklock.authorization.TenantLimiter;
import java.util.function.Supplier;

/**
 * Enforces the limits of tenants and, while the dispatcher is overloaded, their fair shares. Must
 * be used on the routing thread only.
 */
final class TenantAdmission {
    private final MonotonicClock clock;
    private final Supplier<Policy> policyInForce;
    private final TenantLimiter limiter = new TenantLimiter();
    private Policy limiterPolicy;

    TenantAdmission(MonotonicClock clock, Supplier<Policy> policyInForce) {
        this.clock = clock;
        this.policyInForce = policyInForce;
    }

    /**
     * Admits a request that is within its tenant's limits, or rejects it. A rejected request gets
     * its response here and never reaches the router. Every request must be passed to {@link
     * #release} when it has ended.
     *
     * @return false if the request was rejected
     */
    boolean tryAcquire(ProxyExchange exchange) {
        if (exchange.request.caller().isEmpty()) {
            return true;
        }
        refreshTenants();
        String tenant = exchange.request.tenantName();
        // A new policy may have removed the tenant since the request was authorized.
        TenantLimiter.Admission admission =
                limiter.isKnown(tenant)
                        ? limiter.tryAcquire(tenant, clock.nowNs())
                        : new TenantLimiter.Admission(TenantLimiter.Reason.RATE, 0);
        if (!admission.admitted()) {
            exchange.request.client().loop().execute(() -> exchange.rejectByTenantLimit(admission));
            return false;
        }
        exchange.countsAgainstTenantLimits = true;
        return true;
    }

    // Policies are compared by identity, because each load of the file creates a new object. If the
    // new policy is equal to the old one, the same tenants are merely set again.
    @SuppressWarnings("ReferenceEquality")
    private void refreshTenants() {
        Policy policy = policyInForce.get();
        if (policy != limiterPolicy) {
            limiterPolicy = policy;
            limiter.setTenants(policy.tenants());
        }
    }

    /**
     * Releases a request that has ended. Has no effect if it does not count against a tenant's
     * limits.
     */
    void release(ProxyExchange exchange) {
        if (exchange.countsAgainstTenantLimits) {
            limiter.release(
                    exchange.request.tenantName(),
                    exchange.responseBytes(),
                    exchange.completion() == Completion.REJECTED);
        }
    }
}
