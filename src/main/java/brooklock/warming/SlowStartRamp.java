package brooklock.warming;

/**
 * Computes the share of its load that one cache receives while it warms up. The share is never
 * below {@link #MIN_SHARE} and never above 1.
 *
 * <p>The share starts at 1, which stands for the full load that the router's own slow start allows.
 * It is adjusted by the cache's load reports and by signs of overload that this dispatcher
 * observes: an overload halves the share, and reports of free capacity let it grow again. Because
 * the share only lowers the router's bound, a wrong report can slow down a start but cannot
 * overload the cache. Not thread-safe.
 */
final class SlowStartRamp {
    /** Minimum share. Without any requests the cache would send no further reports. */
    static final double MIN_SHARE = 0.1;

    private static final double CUT_FACTOR = 0.5;
    private static final double HIGH_UTILIZATION = 0.9;
    private static final double LOW_UTILIZATION = 0.7;
    // A report older than STALE_REPORT_NS no longer lets the share grow. Once the last report is
    // older than REPORT_TIMEOUT_NS, the share grows without reports.
    private static final long STALE_REPORT_NS = 2_000_000_000L;
    private static final long REPORT_TIMEOUT_NS = 6_000_000_000L;
    // Number of consecutive reports with exactly the same utilization but a changed number of
    // requests in flight after which the utilization is considered stuck.
    private static final int STUCK_REPORT_COUNT = 20;

    private final long startedNs;
    private final AdaptiveShare share;
    private LoadReport lastReport;
    private int unchangedReports;

    /**
     * Creates a new ramp with a share of 1.
     *
     * @param startedNs time at which the cache started, in ns
     */
    SlowStartRamp(long startedNs, long nowNs) {
        this.startedNs = startedNs;
        share = new AdaptiveShare(1, nowNs);
    }

    /** Restores the share from before a restart of this dispatcher, at least {@link #MIN_SHARE}. */
    void restore(double previousShare, long nowNs) {
        share.set(Math.min(1, Math.max(MIN_SHARE, previousShare)));
        share.restartGrowth(nowNs);
    }

    /** Applies a report. Reports from before the start, out of order or implausible are ignored. */
    void onReport(LoadReport report) {
        if (!report.isPlausible()
                || report.requestSentNs() < startedNs
                || (lastReport != null && report.receivedNs() < lastReport.receivedNs())) {
            return;
        }
        countUnchanged(report);
        lastReport = report;
        if (report.utilization() > HIGH_UTILIZATION && !isUtilizationStuck()) {
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

    private boolean isUtilizationStuck() {
        return unchangedReports >= STUCK_REPORT_COUNT;
    }

    /** Cuts the share after a sign of overload at the cache. */
    void onOverload(long nowNs) {
        share.cut(CUT_FACTOR, MIN_SHARE, nowNs);
    }

    /** Returns the current share, after the growth steps that are due. */
    double updatedShare(long nowNs) {
        boolean credible =
                lastReport != null
                        && nowNs - lastReport.receivedNs() <= REPORT_TIMEOUT_NS
                        && !isUtilizationStuck();
        if (!credible) {
            // Without a credible report only the router's bound applies, which is a share of 1. The
            // share approaches 1 by the usual steps, so that an earlier cut does not end at once.
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
