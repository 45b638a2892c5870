package brooklock.proxy;

import brooklock.authorization.Policy;
import brooklock.authorization.TenantLimiter;
import java.util.function.Supplier;

/**
 * Holds tenants to their limits and, while the dispatcher is overloaded, to their fair share. All
 * of it belongs to the routing thread.
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
     * Admits a request within its tenant's limits; every admitted one is to be released. One that
     * is over them is answered, and never becomes an event.
     *
     * @return false if the request was answered
     */
    boolean tryAcquire(ProxyExchange exchange) {
        if (exchange.request.caller().isEmpty()) {
            return true;
        }
        refreshTenants();
        String tenant = exchange.request.tenantName();
        // A tenant that a new policy has dropped between authorization and here.
        TenantLimiter.Admission admission =
                limiter.isKnown(tenant)
                        ? limiter.tryAcquire(tenant, clock.nowNs())
                        : new TenantLimiter.Admission(TenantLimiter.Reason.RATE, 0);
        if (!admission.admitted()) {
            exchange.request.client().loop().execute(() -> exchange.rejectByTenantLimit(admission));
            return false;
        }
        exchange.heldByTenant = true;
        return true;
    }

    // Compared by identity: each file that is read makes another policy, and one that equals the
    // last costs no more than setting the same tenants again.
    @SuppressWarnings("ReferenceEquality")
    private void refreshTenants() {
        Policy policy = policyInForce.get();
        if (policy != limiterPolicy) {
            limiterPolicy = policy;
            limiter.setTenants(policy.tenants());
        }
    }

    /** Releases a request that has ended; does nothing for one that was not admitted here. */
    void release(ProxyExchange exchange) {
        if (exchange.heldByTenant) {
            limiter.release(
                    exchange.request.tenantName(),
                    exchange.responseBytes(),
                    exchange.completion() == Completion.REJECTED);
        }
    }
}
