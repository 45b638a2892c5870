package brooklock.warming;

/**
 * How many parts may be fetched ahead at one cold cache. The rule's figures leave the module 0.6 of
 * the multiple that pushes a cold cache over, and it plans no more than 1.3 of what the cache can
 * do; fetching ahead takes at most a part of what is left between, and of this dispatcher's part of
 * what a warm cache bears, and all parts together are no more than a cache's capacity. So all
 * together stay under the multiple: {@code min(1.3, 0.6 m) + SHARE * (m - min(1.3, 0.6 m)) < m} for
 * every multiple m.
 */
final class PrefetchBudget {
    /** A host that has told nothing for so long gives and gets nothing ahead. */
    static final long STALE_REPORT_NS = 3_000_000_000L;

    private static final double ROUTING_SHARE = 0.6;
    private static final double MAX_ROUTING_LOAD = 1.3;
    // Of what the module leaves: half, since what was permitted just before the span, and chance,
    // come on top.
    private static final double PREFETCH_SHARE = 0.5;
    // Never above this of what it can do itself, however large the multiple: clients come first.
    private static final double MAX_CAPACITY_SHARE = 0.5;
    // Use of its link above which nothing is fetched ahead.
    private static final double HIGH_UTILIZATION = 0.5;
    // The first sign of lateness stops it for so long.
    private static final long PAUSE_NS = 2_000_000_000L;
    // Fetches under way at one cache from this dispatcher.
    private static final int MAX_IN_FLIGHT = 4;

    private final PacedBudget budget;
    private long pausedUntilNs;
    private double utilization = -1;
    private long reportedAtNs;
    int inFlight;

    PrefetchBudget(double phase, long lapseNs, long now) {
        budget = new PacedBudget(phase, lapseNs, now);
    }

    void onReport(LoadReport r) {
        utilization = r.utilization();
        reportedAtNs = r.receivedNs();
    }

    /** Something there was late, refused or broken. */
    void pause(long now) {
        pausedUntilNs = now + PAUSE_NS;
    }

    /**
     * Share of its capacity that all dispatchers together may fetch ahead at a cache of a warmth.
     */
    static double maxPrefetchShare(WarmingLimits law, double warmth) {
        double module = Math.min(MAX_ROUTING_LOAD, ROUTING_SHARE * law.overloadMultiple());
        return warmth
                * Math.min(
                        MAX_CAPACITY_SHARE,
                        PREFETCH_SHARE * Math.max(0, law.overloadMultiple() - module));
    }

    /** Whether one may be fetched now; {@link #acquire} is to follow. */
    boolean canAcquire(WarmingLimits law, double warmth, double partPerNs, long now) {
        boolean roomy =
                utilization >= 0
                        && utilization < HIGH_UTILIZATION
                        && now - reportedAtNs < STALE_REPORT_NS;
        // Time in which nothing may be fetched saves nothing up.
        boolean permitted =
                budget.canAcquire(
                        roomy && now >= pausedUntilNs
                                ? partPerNs * maxPrefetchShare(law, warmth)
                                : 0,
                        now);
        return roomy && now >= pausedUntilNs && inFlight < MAX_IN_FLIGHT && permitted;
    }

    void acquire() {
        budget.acquire();
        inFlight++;
    }
}
