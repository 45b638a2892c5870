package brooklock.warming;

/**
 * How much load warming may put on one peer. The limit is this dispatcher's part of the share of
 * the peer's free capacity that the settings allow, times a fraction that adapts: it grows while
 * the peer reports free capacity and is cut, in the end to nothing, when the peer's own clients
 * need it. So all dispatchers together stay below that share, however many they are and whatever
 * the peer reports.
 */
final class PeerLoadLimit {
    /** A peer whose last report is older than this counts as one without a report. */
    static final long STALE_REPORT_NS = 3_000_000_000L;

    // Enough for a healthy peer to be used at once, and room to adapt both ways.
    private static final double INITIAL_FRACTION = 0.5;
    // A peer in another zone reports only in its responses, so without a report it still gets a
    // little.
    private static final double UNREPORTED_FRACTION = 0.1;
    private static final double LOW_UTILIZATION = 0.6;
    private static final double HIGH_UTILIZATION = 0.75;
    private static final double CRITICAL_UTILIZATION = 0.9;
    private static final double CUT_FACTOR = 0.5;
    private static final long BASE_BACKOFF_NS = 1_000_000_000L;
    private static final int MAX_BACKOFF_DOUBLINGS = 5;
    // Misses in a row that show that the peer does not hold what is wanted.
    private static final int MAX_CONSECUTIVE_MISSES = 20;

    private final PacedBudget budget;
    private final AdaptiveShare fraction;
    private long backoffUntilNs;
    private int consecutiveFailures;
    private int consecutiveMisses;
    // Negative before the first report.
    private double utilization = -1;
    private long reportedAtNs;

    /**
     * Creates a limit for a peer that has reported nothing.
     *
     * @param phase see {@link PacedBudget}
     * @param permitLifetimeNs see {@link PacedBudget}
     */
    PeerLoadLimit(double phase, long permitLifetimeNs, long nowNs) {
        budget = new PacedBudget(phase, permitLifetimeNs, nowNs);
        fraction = new AdaptiveShare(INITIAL_FRACTION, nowNs);
    }

    /** Takes in a report of the peer's load; an implausible one is ignored. */
    void onReport(LoadReport report) {
        if (!report.isPlausible()) {
            return;
        }
        utilization = report.utilization();
        reportedAtNs = report.receivedNs();
        if (utilization > HIGH_UTILIZATION) {
            double factor = utilization > CRITICAL_UTILIZATION ? 0 : CUT_FACTOR;
            fraction.cut(factor, 0, reportedAtNs);
        }
    }

    /** The peer filled a request. */
    void onFilled() {
        consecutiveFailures = 0;
        consecutiveMisses = 0;
    }

    /** The peer did not hold the part. */
    void onMiss(long nowNs) {
        consecutiveFailures = 0;
        consecutiveMisses++;
        if (consecutiveMisses >= MAX_CONSECUTIVE_MISSES) {
            consecutiveMisses = 0;
            backOff(nowNs);
        }
    }

    /** The peer rejected a request, or its connection was lost. */
    void onFailure(long nowNs) {
        fraction.set(0);
        fraction.restartGrowth(nowNs);
        backOff(nowNs);
        consecutiveFailures = Math.min(MAX_BACKOFF_DOUBLINGS, consecutiveFailures + 1);
    }

    private void backOff(long nowNs) {
        backoffUntilNs = nowNs + (BASE_BACKOFF_NS << consecutiveFailures);
    }

    /**
     * Returns whether one more part may be requested from the peer; {@link #acquire} takes the
     * permit.
     *
     * @param dispatcherSharePerNs this dispatcher's part of a warm cache's capacity, in requests
     *     per ns
     * @param peerShare share of the free capacity that the settings allow, 0 to 1
     */
    boolean canAcquire(double dispatcherSharePerNs, double peerShare, long nowNs) {
        boolean reported = utilization >= 0 && nowNs - reportedAtNs < STALE_REPORT_NS;
        fraction.grow(maxFraction(reported), nowNs);
        double available =
                reported
                        ? Math.max(0, 1 - utilization) * fraction.value()
                        : Math.min(fraction.value(), UNREPORTED_FRACTION);
        return nowNs >= backoffUntilNs
                && budget.canAcquire(dispatcherSharePerNs * peerShare * available, nowNs);
    }

    private double maxFraction(boolean reported) {
        if (!reported) {
            return Math.max(fraction.value(), UNREPORTED_FRACTION);
        }
        return utilization < LOW_UTILIZATION ? 1 : fraction.value();
    }

    void acquire() {
        budget.acquire();
    }

    /**
     * Returns the permit of a peer that was named and then not used, because the cache had a copy.
     */
    void refund() {
        budget.refund();
    }

    /** The adaptive fraction, 0 to 1. */
    double fraction() {
        return fraction.value();
    }

    /** Continues at the fraction of before a restart of this dispatcher. */
    void restore(double previousFraction) {
        fraction.set(Math.min(1, Math.max(0, previousFraction)));
    }
}
