package brooklock.warming;

import brooklock.routing.SlowStart;

/**
 * How many parts may be prefetched at one cache that is warming up. Clients get up to {@link
 * SlowStart#plannedCapacityMultiple} of the cache's present capacity; prefetching gets half of what is left
 * up to the overload multiple, and never more than half of the capacity. So clients and prefetching
 * together stay below every overload multiple.
 */
final class PrefetchBudget {
    // Not all that the router leaves: permits from just before the window, and chance, come on top.
    private static final double SHARE_OF_REST = 0.5;
    // However large the multiple: clients come first.
    private static final double MAX_CAPACITY_SHARE = 0.5;
    private static final double HIGH_UTILIZATION = 0.5;
    private static final long PAUSE_NS = 2_000_000_000L;
    private static final int MAX_IN_FLIGHT = 4;

    private final PacedBudget budget;
    private long pausedUntilNs;
    // Negative before the first report.
    private double utilization = -1;
    private long reportedAtNs;
    private int inFlight;

    /**
     * Creates a budget for a cache that has reported nothing, which allows nothing.
     *
     * @param phase see {@link PacedBudget}
     * @param permitLifetimeNs see {@link PacedBudget}
     */
    PrefetchBudget(double phase, long permitLifetimeNs, long nowNs) {
        budget = new PacedBudget(phase, permitLifetimeNs, nowNs);
    }

    /** Takes in a plausible report of the cache's load. */
    void onReport(LoadReport report) {
        utilization = report.utilization();
        reportedAtNs = report.receivedNs();
    }

    /**
     * Pauses prefetching after the first sign of overload: a late response, a rejection, a lost
     * connection.
     */
    void pause(long nowNs) {
        pausedUntilNs = nowNs + PAUSE_NS;
    }

    /**
     * Share of its full capacity that all dispatchers together may prefetch at a cache of a current
     * capacity.
     */
    static double maxPrefetchShare(WarmingLimits limits, double capacity) {
        double multiple = limits.overloadMultiple();
        double router = SlowStart.plannedCapacityMultiple(multiple);
        double share = Math.min(MAX_CAPACITY_SHARE, SHARE_OF_REST * Math.max(0, multiple - router));
        return capacity * share;
    }

    /**
     * Returns whether one part may be prefetched; {@link #acquire} takes the permit.
     *
     * @param capacity share of its capacity that the cache has now
     * @param dispatcherSharePerNs this dispatcher's part of a warm cache's capacity, in requests
     *     per ns
     */
    boolean canAcquire(
            WarmingLimits limits, double capacity, double dispatcherSharePerNs, long nowNs) {
        boolean allowed =
                utilization >= 0
                        && utilization < HIGH_UTILIZATION
                        && nowNs - reportedAtNs < PeerLoadLimit.STALE_REPORT_NS
                        && nowNs >= pausedUntilNs;
        // While nothing is allowed no permits are issued, so that a pause saves nothing up.
        double rate = allowed ? dispatcherSharePerNs * maxPrefetchShare(limits, capacity) : 0;
        boolean permitted = budget.canAcquire(rate, nowNs);
        return allowed && inFlight < MAX_IN_FLIGHT && permitted;
    }

    void acquire() {
        budget.acquire();
        inFlight++;
    }

    /** A prefetch has ended. */
    void release() {
        inFlight = Math.max(0, inFlight - 1);
    }
}
