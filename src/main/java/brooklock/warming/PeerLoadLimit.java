package brooklock.warming;

/**
 * How much warming may ask of one neighbour: a share of this dispatcher's part of what it bears, of
 * which as much counts as it says is free. All dispatchers together so ask no more than that share
 * of what it bears on top, however many they are and whatever it says. The share grows while the
 * neighbour has room and is cut, to nothing at last, as its own clients need it.
 */
final class PeerLoadLimit {
    private static final double GROWTH_STEP = 0.1;
    private static final long GROWTH_INTERVAL_NS = 500_000_000L;
    // Half at first: a neighbour that is well can be asked as soon as it is needed.
    private static final double INITIAL_FRACTION = 0.5;
    private static final long MIN_CUT_INTERVAL_NS = 250_000_000L;
    // Its part while it has told nothing lately: one of another location tells only when it is
    // asked.
    private static final double UNREPORTED_FRACTION = 0.1;
    private static final double LOW_UTILIZATION = 0.6;
    private static final double HIGH_UTILIZATION = 0.75;
    private static final double CRITICAL_UTILIZATION = 0.9;
    // A neighbour that failed or refused as a source rests so long, twice as long with each that
    // follows, so often.
    private static final long BASE_BACKOFF_NS = 1_000_000_000L;
    private static final int MAX_BACKOFF_DOUBLINGS = 5;
    // It lacked so many in a row: it does not hold what is looked for.
    private static final int MAX_CONSECUTIVE_MISSES = 20;

    private final PacedBudget budget;
    // Of the share that the settings allow.
    private double fraction = INITIAL_FRACTION;
    private long lastGrowthNs;
    private long lastCutNs;
    private long backoffUntilNs;
    private int consecutiveFailures;
    private int consecutiveMisses;
    private double utilization = -1;
    private long reportedAtNs;

    PeerLoadLimit(double phase, long lapseNs, long now) {
        budget = new PacedBudget(phase, lapseNs, now);
        lastGrowthNs = now;
        lastCutNs = now - MIN_CUT_INTERVAL_NS;
    }

    void onReport(LoadReport r) {
        if (!r.isPlausible()) {
            return;
        }
        utilization = r.utilization();
        reportedAtNs = r.receivedNs();
        if (utilization > HIGH_UTILIZATION && reportedAtNs - lastCutNs >= MIN_CUT_INTERVAL_NS) {
            fraction = utilization > CRITICAL_UTILIZATION ? 0 : fraction / 2;
            lastCutNs = reportedAtNs;
            lastGrowthNs = reportedAtNs;
        }
    }

    /** It gave. */
    void onFilled() {
        consecutiveFailures = 0;
        consecutiveMisses = 0;
    }

    /** It did not hold what was asked for; where that is so again and again it is asked less. */
    void onMiss(long now) {
        consecutiveFailures = 0;
        if (++consecutiveMisses >= MAX_CONSECUTIVE_MISSES) {
            consecutiveMisses = 0;
            backOff(now);
        }
    }

    /** It refused, or broke off. */
    void onFailure(long now) {
        fraction = 0;
        lastGrowthNs = now;
        backOff(now);
        consecutiveFailures = Math.min(MAX_BACKOFF_DOUBLINGS, consecutiveFailures + 1);
    }

    private void backOff(long now) {
        backoffUntilNs = now + (BASE_BACKOFF_NS << consecutiveFailures);
    }

    /**
     * Whether it may be asked for one more now.
     *
     * @param partPerNs this dispatcher's part of what a warm cache bears, requests a ns
     * @param share the most that the settings allow, of 1
     */
    boolean canAcquire(double partPerNs, double share, long now) {
        boolean known = utilization >= 0 && now - reportedAtNs < PrefetchBudget.STALE_REPORT_NS;
        long steps = (now - lastGrowthNs) / GROWTH_INTERVAL_NS;
        if (steps > 0) {
            // One that tells nothing comes back to the trickle: it tells something only once it is
            // asked.
            double most =
                    !known
                            ? Math.max(fraction, UNREPORTED_FRACTION)
                            : utilization < LOW_UTILIZATION ? 1 : fraction;
            fraction = Math.min(most, fraction + GROWTH_STEP * steps);
            lastGrowthNs += steps * GROWTH_INTERVAL_NS;
        }
        double spare =
                known
                        ? Math.max(0, 1 - utilization) * fraction
                        : Math.min(fraction, UNREPORTED_FRACTION);
        return now >= backoffUntilNs && budget.canAcquire(partPerNs * share * spare, now);
    }

    void acquire() {
        budget.acquire();
    }

    /** It was named and not asked: the cold cache had it. */
    void refund() {
        budget.refund();
    }

    double fraction() {
        return fraction;
    }

    void restore(double before) {
        fraction = Math.min(1, Math.max(0, before));
    }
}
