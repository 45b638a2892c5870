package brooklock.warming;

/**
 * The share of its own that one cold cache is given, of 1. It begins with all that the module's
 * budget allows, which is reckoned from the stated warmth; if the cache says that it has less to
 * spare than that, or answers late, the share is halved, and grows again by steps while there is
 * room. Growth is added and cuts are multiplied, so that dispatchers which share nothing but the
 * cache's own word come to alike shares (Chiu and Jain, 1989). A report only ever makes it smaller
 * than the module's budget, so nonsense can slow a start and push nobody over.
 */
final class SlowStartRamp {
    /** Least share: some requests must go there, else nothing more is heard. */
    static final double MIN_SHARE = 0.1;

    // Growth a step, and the time of a step.
    private static final double GROWTH_STEP = 0.1;
    private static final long GROWTH_INTERVAL_NS = 500_000_000L;
    // One crowding is one cut: answers that were on their way when it was cut tell of before.
    private static final long MIN_CUT_INTERVAL_NS = 250_000_000L;
    private static final double CUT_FACTOR = 0.5;
    // Uses of its link above which it is crowded, and below which it has room.
    private static final double HIGH_UTILIZATION = 0.9;
    private static final double LOW_UTILIZATION = 0.7;
    // A report older than this says nothing: growth waits, and after the other time the share is
    // the module's alone.
    private static final long STALE_REPORT_NS = 2_000_000_000L;
    private static final long SILENCE_NS = 6_000_000_000L;

    final long startedNs;
    private double share = 1;
    private long lastCutNs;
    private long lastGrowthNs;
    private LoadReport lastReport;
    private int unchangedReports;

    SlowStartRamp(long startedNs, long now) {
        this.startedNs = startedNs;
        lastCutNs = now - MIN_CUT_INTERVAL_NS;
        lastGrowthNs = now;
    }

    /** Goes on from what was written down before a restart of this dispatcher. */
    void restore(double before, long now) {
        share = Math.min(1, Math.max(MIN_SHARE, before));
        lastGrowthNs = now;
    }

    /** The cache has said something of itself. */
    void onReport(LoadReport r) {
        // What was said before its start, or cannot be, or is a figure that stands still while
        // others move, is nothing.
        if (!r.isPlausible()
                || r.requestSentNs() < startedNs
                || lastReport != null && r.receivedNs() < lastReport.receivedNs()) {
            return;
        }
        unchangedReports =
                lastReport != null
                                && r.utilization() == lastReport.utilization()
                                && r.inFlight() != lastReport.inFlight()
                        ? unchangedReports + 1
                        : lastReport != null && r.utilization() == lastReport.utilization()
                                ? unchangedReports
                                : 0;
        lastReport = r;
        if (r.utilization() > HIGH_UTILIZATION && !isStuck()) {
            cut(r.receivedNs());
        }
    }

    // So often the same share of the link, to the digit, with other numbers of requests: the figure
    // is stuck.
    private boolean isStuck() {
        return unchangedReports >= 20;
    }

    /**
     * It refused for want of room, or answered later than the class aims at, what it had itself.
     */
    void onOverload(long now) {
        cut(now);
    }

    private void cut(long now) {
        if (now - lastCutNs >= MIN_CUT_INTERVAL_NS) {
            share = Math.max(MIN_SHARE, share * CUT_FACTOR);
            lastCutNs = now;
            lastGrowthNs = now;
        }
    }

    /** The share now. */
    double share(long now) {
        if (lastReport == null || now - lastReport.receivedNs() > SILENCE_NS || isStuck()) {
            // Nothing worth believing is heard: the module's budget alone, which the share is 1 of.
            // A cut still holds for
            // as long as growth would take.
            grow(now);
        } else if (lastReport.utilization() < LOW_UTILIZATION
                && now - lastReport.receivedNs() <= STALE_REPORT_NS) {
            grow(now);
        } else {
            lastGrowthNs = now;
        }
        return share;
    }

    private void grow(long now) {
        long steps = (now - lastGrowthNs) / GROWTH_INTERVAL_NS;
        if (steps > 0) {
            share = Math.min(1, share + GROWTH_STEP * steps);
            lastGrowthNs += steps * GROWTH_INTERVAL_NS;
        }
    }

    /** Share of hits that it told last, or -1. */
    double hitRatio() {
        return lastReport == null ? -1 : lastReport.hitRatio();
    }
}
