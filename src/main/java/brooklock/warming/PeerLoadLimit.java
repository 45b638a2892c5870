package brooklock.warming;

/**
 * Limits the load that warming other caches puts on one peer. The settings allow a share of the
 * peer's free capacity; the limit is this dispatcher's portion of that share, times an adaptive
 * fraction. The fraction grows while the peer reports free capacity, and is cut, down to 0, when
 * the peer's own clients need the capacity. All dispatchers together therefore stay below the
 * allowed share, regardless of their number and of what the peer reports. Not thread-safe.
 */
final class PeerLoadLimit {
    /** Age at which the last report of a peer is no longer used, in ns. */
    static final long STALE_REPORT_NS = 3_000_000_000L;

    // Is high enough to use a healthy peer at once and leaves a margin to adapt in both directions.
    private static final double INITIAL_FRACTION = 0.5;
    // A peer in another zone reports its load only in its responses. Without a few requests it
    // could never report and would never be used.
    private static final double UNREPORTED_FRACTION = 0.1;
    private static final double LOW_UTILIZATION = 0.6;
    private static final double HIGH_UTILIZATION = 0.75;
    private static final double CRITICAL_UTILIZATION = 0.9;
    private static final double CUT_FACTOR = 0.5;
    private static final long BASE_BACKOFF_NS = 1_000_000_000L;
    private static final int MAX_BACKOFF_DOUBLINGS = 5;
    // Number of consecutive misses that show that the peer does not hold the requested parts.
    private static final int MAX_CONSECUTIVE_MISSES = 20;

    private final PacedBudget budget;
    private final AdaptiveShare fraction;
    private long backoffUntilNs;
    private int consecutiveFailures;
    private int consecutiveMisses;
    // Negative until the first report.
    private double utilization = -1;
    private long reportedAtNs;

    /**
     * Creates a new limit for a peer without a load report.
     *
     * @param phase progress of the first permit; see {@link PacedBudget}
     * @param permitLifetimeNs time after which an unused permit expires, in ns
     */
    PeerLoadLimit(double phase, long permitLifetimeNs, long nowNs) {
        budget = new PacedBudget(phase, permitLifetimeNs, nowNs);
        fraction = new AdaptiveShare(INITIAL_FRACTION, nowNs);
    }

    /** Applies a load report of the peer. An implausible report is ignored. */
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

    /** Records that the peer served a requested part. */
    void onFilled() {
        consecutiveFailures = 0;
        consecutiveMisses = 0;
    }

    /** Records that the peer did not hold a requested part. */
    void onMiss(long nowNs) {
        consecutiveFailures = 0;
        consecutiveMisses++;
        if (consecutiveMisses >= MAX_CONSECUTIVE_MISSES) {
            consecutiveMisses = 0;
            backOff(nowNs);
        }
    }

    /** Records that the peer rejected or failed a request, or that its connection was lost. */
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
     * Advances the adaptive fraction, issues the permits that are due and returns whether one more
     * part may be requested from the peer. {@link #acquire} takes the permit.
     *
     * @param dispatcherCapacityPerNs this dispatcher's portion of the capacity of a warm cache, in
     *     requests per ns
     * @param peerShare share of the free capacity that the settings allow, from 0 to 1
     */
    boolean refillAndCheck(double dispatcherCapacityPerNs, double peerShare, long nowNs) {
        boolean reported = utilization >= 0 && nowNs - reportedAtNs < STALE_REPORT_NS;
        fraction.grow(maxFraction(reported), nowNs);
        double available =
                reported
                        ? Math.max(0, 1 - utilization) * fraction.value()
                        : Math.min(fraction.value(), UNREPORTED_FRACTION);
        return nowNs >= backoffUntilNs
                && budget.refillAndCheck(dispatcherCapacityPerNs * peerShare * available, nowNs);
    }

    private double maxFraction(boolean reported) {
        if (!reported) {
            return Math.max(fraction.value(), UNREPORTED_FRACTION);
        }
        return utilization < LOW_UTILIZATION ? 1 : fraction.value();
    }

    /** Takes one permit. The caller has checked that one is available. */
    void acquire() {
        budget.acquire();
    }

    /**
     * Gives back the permit of a peer that was selected but not used because the cache had a copy.
     */
    void refund() {
        budget.refund();
    }

    /** Returns the adaptive fraction, from 0 to 1. */
    double fraction() {
        return fraction.value();
    }

    /** Restores the fraction from before a restart of this dispatcher, limited to 0 to 1. */
    void restore(double previousFraction) {
        fraction.set(Math.min(1, Math.max(0, previousFraction)));
    }
}
