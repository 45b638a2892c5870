package brooklock.warming;

import brooklock.routing.SlowStart;

/**
 * Limits the prefetches at one cache that is warming up. Clients use up to {@link
 * SlowStart#plannedCapacityMultiple} of the cache's present capacity. Prefetching uses half of the
 * difference between that multiple and the overload multiple, but never more than half of the
 * capacity. Clients and prefetching together therefore stay below the overload multiple, regardless
 * of its value. Not thread-safe.
 */
final class PrefetchBudget {
    // Below 1, because permits from just before the overload window and random variation add to the
    // planned load.
    private static final double REMAINDER_SHARE = 0.5;
    // Applies even to a large overload multiple, because clients have priority.
    private static final double MAX_CAPACITY_SHARE = 0.5;
    private static final double HIGH_UTILIZATION = 0.5;
    private static final long PAUSE_NS = 2_000_000_000L;
    private static final int MAX_IN_FLIGHT = 4;

    private final PacedBudget budget;
    private long pausedUntilNs;
    // Negative until the first report.
    private double utilization = -1;
    private long reportedAtNs;
    private int inFlight;

    /**
     * Creates a new budget, which permits no prefetch until the cache has reported its load.
     *
     * @param phase progress of the first permit; see {@link PacedBudget}
     * @param permitLifetimeNs time after which an unused permit expires, in ns
     */
    PrefetchBudget(double phase, long permitLifetimeNs, long nowNs) {
        budget = new PacedBudget(phase, permitLifetimeNs, nowNs);
    }

    /** Applies a load report of the cache. The caller has checked that it is plausible. */
    void onReport(LoadReport report) {
        utilization = report.utilization();
        reportedAtNs = report.receivedNs();
    }

    /**
     * Pauses prefetching after a sign of overload, such as a late response, a rejection or a lost
     * connection.
     */
    void pause(long nowNs) {
        pausedUntilNs = nowNs + PAUSE_NS;
    }

    /**
     * Returns the share of a cache's full capacity that the prefetches of all dispatchers together
     * may use.
     *
     * @param capacity share of its full capacity that the cache has now
     */
    static double maxPrefetchShare(WarmingLimits limits, double capacity) {
        double multiple = limits.overloadMultiple();
        double plannedMultiple = SlowStart.plannedCapacityMultiple(multiple);
        double share =
                Math.min(
                        MAX_CAPACITY_SHARE,
                        REMAINDER_SHARE * Math.max(0, multiple - plannedMultiple));
        return capacity * share;
    }

    /**
     * Issues the permits that are due and returns whether one part may be prefetched. {@link
     * #acquire} takes the permit.
     *
     * @param capacity share of its full capacity that the cache has now
     * @param dispatcherCapacityPerNs this dispatcher's portion of the capacity of a warm cache, in
     *     requests per ns
     */
    boolean refillAndCheck(
            WarmingLimits limits, double capacity, double dispatcherCapacityPerNs, long nowNs) {
        boolean allowed =
                utilization >= 0
                        && utilization < HIGH_UTILIZATION
                        && nowNs - reportedAtNs < PeerLoadLimit.STALE_REPORT_NS
                        && nowNs >= pausedUntilNs;
        // No permits are issued during a pause; they would accumulate and be spent at its end.
        double rate = allowed ? dispatcherCapacityPerNs * maxPrefetchShare(limits, capacity) : 0;
        boolean permitted = budget.refillAndCheck(rate, nowNs);
        return allowed && inFlight < MAX_IN_FLIGHT && permitted;
    }

    /** Takes one permit and counts a prefetch as in flight. */
    void acquire() {
        budget.acquire();
        inFlight++;
    }

    /** Records that a prefetch in flight has ended. */
    void release() {
        inFlight = Math.max(0, inFlight - 1);
    }
}
