package brooklock.authorization;

import java.util.Collection;

/**
 * Divides a capacity among tenants by weighted max-min fairness: capacity that a tenant does not
 * demand is divided among the other tenants.
 */
final class FairShares {
    /**
     * The factor by which shares may exceed the measured demand or capacity, so that both can grow
     * again from one interval to the next.
     */
    static final double GROWTH_FACTOR = 1.1;

    // Shares are enforced only while the demand per weight of some tenant exceeds this multiple of
    // the demand per weight of the others. Where demands are similar, the router's own rejections
    // are fair, and shares would only reject requests that could be served, such as cache hits.
    private static final double EXCESS_DEMAND_RATIO = 1.5;
    private static final double UNASSIGNED = -1;
    private static final double MIN_WEIGHT_SUM = 1e-9;

    private FairShares() {}

    /**
     * Sets the fair share of each tenant; infinite for all if no tenant has excess demand.
     *
     * @param capacity the capacity to divide, in requests per interval
     */
    static void allocate(Collection<TenantUsage> tenants, double capacity) {
        double remaining = capacity;
        double weightSum = 0;
        for (TenantUsage usage : tenants) {
            usage.fairShare = UNASSIGNED;
            weightSum += usage.demand > 0 ? usage.tenant.weight() : 0;
        }
        boolean changed = true;
        while (changed && weightSum > 0) {
            changed = false;
            double sharePerWeight = remaining / weightSum;
            for (TenantUsage usage : tenants) {
                if (usage.fairShare < 0
                        && usage.demand > 0
                        && usage.demand <= sharePerWeight * usage.tenant.weight()) {
                    usage.fairShare = usage.demand * GROWTH_FACTOR + 1;
                    remaining -= usage.demand;
                    weightSum -= usage.tenant.weight();
                    changed = true;
                }
            }
        }
        for (TenantUsage usage : tenants) {
            if (usage.fairShare < 0) {
                usage.fairShare =
                        remaining / Math.max(MIN_WEIGHT_SUM, weightSum) * usage.tenant.weight();
            }
        }
        if (tenants.stream().noneMatch(usage -> hasExcessDemand(usage, tenants))) {
            tenants.forEach(usage -> usage.fairShare = Double.POSITIVE_INFINITY);
        }
    }

    private static boolean hasExcessDemand(TenantUsage usage, Collection<TenantUsage> tenants) {
        double demand = 0;
        double weight = 0;
        for (TenantUsage other : tenants) {
            demand += other == usage ? 0 : other.demand;
            weight += other == usage || other.demand <= 0 ? 0 : other.tenant.weight();
        }
        return weight > 0
                && usage.demand / usage.tenant.weight() > EXCESS_DEMAND_RATIO * demand / weight;
    }
}
