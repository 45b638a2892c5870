package brooklock.faulttest;

import java.util.ArrayList;
import java.util.List;

/** Collects what the check of one invariant finds. */
final class Findings {
    /**
     * Time allowed between what a dispatcher does and what its peers record: the loopback, and the
     * scheduling of both processes.
     */
    static final long SLACK_NS = 150_000_000L;

    private final HarnessMonitor monitor;
    private final List<String> violations = new ArrayList<>();
    private final List<String> inconclusive = new ArrayList<>();
    long cases;

    Findings(HarnessMonitor monitor) {
        this.monitor = monitor;
    }

    /**
     * Reports what was seen at a moment and exceeds its bound. If the harness was late by as much
     * within the slack before, the fault may be the harness's, and nothing can be concluded.
     *
     * @param excessNs by how much the bound is exceeded, slack already subtracted
     */
    void report(long atNs, long excessNs, String description) {
        report(atNs - excessNs - SLACK_NS, atNs, excessNs, description);
    }

    /** The same, for what began at {@code fromNs}. */
    void report(long fromNs, long atNs, long excessNs, String description) {
        if (monitor.maxDelayNs(fromNs, atNs) >= excessNs) {
            inconclusive.add(description);
        } else {
            violations.add(description);
        }
    }

    /** Reports a violation that no delay of the harness can explain. */
    void reportCertain(String description) {
        violations.add(description);
    }

    CheckResult result(int invariant, String description) {
        return new CheckResult(invariant, description, cases, violations, inconclusive);
    }
}
