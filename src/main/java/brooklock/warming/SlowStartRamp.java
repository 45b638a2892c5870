package brooklock.warming;

/**
 * The share of its load that one cache gets while it warms up, from {@link #MIN_SHARE} to 1.
 *
 * <p>It begins at 1, which means all that the router's own slow start allows. Inputs: the cache's
 * load reports and signs of overload seen by this dispatcher. An overload halves the share, reports
 * of free capacity let it grow again. Because the share only lowers the router's bound, an
 * implausible report can slow a start down and overload nothing.
 */
final class SlowStartRamp {
    /** Least share: without any request no further report would arrive. */
    static final double MIN_SHARE = 0.1;

    private static final double CUT_FACTOR = 0.5;
    private static final double HIGH_UTILIZATION = 0.9;
    private static final double LOW_UTILIZATION = 0.7;
    // A report older than this no longer lets the share grow; after a longer silence the share
    // grows without any.
    private static final long STALE_REPORT_NS = 2_000_000_000L;
    private static final long SILENCE_NS = 6_000_000_000L;
    // Reports in a row with the same utilization to the digit, but other requests in flight, that
    // show a stuck figure.
    private static final int STUCK_REPORTS = 20;

    private final long startedNs;
    private final AdaptiveShare share;
    private LoadReport lastReport;
    private int unchangedReports;

    /**
     * Creates a ramp at its full share.
     *
     * @param startedNs when the cache started
     */
    SlowStartRamp(long startedNs, long nowNs) {
        this.startedNs = startedNs;
        share = new AdaptiveShare(1, nowNs);
    }

    /** Continues at the share of before a restart of this dispatcher. */
    void restore(double previousShare, long nowNs) {
        share.set(Math.min(1, Math.max(MIN_SHARE, previousShare)));
        share.restartGrowth(nowNs);
    }

    /** Takes in a report; one from before the start, out of order or out of range is ignored. */
    void onReport(LoadReport report) {
        if (!report.isPlausible()
                || report.requestSentNs() < startedNs
                || (lastReport != null && report.receivedNs() < lastReport.receivedNs())) {
            return;
        }
        countUnchanged(report);
        lastReport = report;
        if (report.utilization() > HIGH_UTILIZATION && !isStuck()) {
            onOverload(report.receivedNs());
        }
    }

    private void countUnchanged(LoadReport report) {
        if (lastReport == null || report.utilization() != lastReport.utilization()) {
            unchangedReports = 0;
        } else if (report.inFlight() != lastReport.inFlight()) {
            unchangedReports++;
        }
    }

    private boolean isStuck() {
        return unchangedReports >= STUCK_REPORTS;
    }

    /** The cache rejected a request, or answered late what it had cached. */
    void onOverload(long nowNs) {
        share.cut(CUT_FACTOR, MIN_SHARE, nowNs);
    }

    /** Returns the share now. */
    double share(long nowNs) {
        boolean credible =
                lastReport != null && nowNs - lastReport.receivedNs() <= SILENCE_NS && !isStuck();
        if (!credible) {
            // Only the router's bound is left, which is a share of 1; a cut still lasts for the
            // time of its growth.
            share.grow(1, nowNs);
        } else if (lastReport.utilization() < LOW_UTILIZATION
                && nowNs - lastReport.receivedNs() <= STALE_REPORT_NS) {
            share.grow(1, nowNs);
        } else {
            share.restartGrowth(nowNs);
        }
        return share.value();
    }
}
