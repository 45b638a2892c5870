package brooklock.faulttest;

import java.util.ArrayList;
import java.util.List;

/**
 * Collects the violations that the check of one invariant finds, and counts its cases. Used on one
 * thread.
 */
final class Findings {
    /**
     * Tolerance for the time from an action of a dispatcher until a client or server records it.
     * This time includes the transfer over loopback and the scheduling delays of both processes.
     */
    static final long SLACK_NS = 150_000_000L;

    private final HarnessMonitor monitor;
    private final List<String> violations = new ArrayList<>();
    private final List<String> inconclusive = new ArrayList<>();

    /** Number of cases to which the invariant applies. */
    long cases;

    Findings(HarnessMonitor monitor) {
        this.monitor = monitor;
    }

    /**
     * Reports an event that exceeds its time bound. If the harness was delayed by at least the
     * excess shortly before the event, that delay may be the cause, and the finding is
     * inconclusive.
     *
     * @param atNs when the event was recorded, {@link System#nanoTime}
     * @param excessNs time by which the bound is exceeded, after subtraction of the slack
     * @param description the line printed in the report
     */
    void report(long atNs, long excessNs, String description) {
        report(atNs - excessNs - SLACK_NS, atNs, excessNs, description);
    }

    /**
     * Reports an event that exceeds its time bound. The finding is inconclusive if the harness was
     * delayed by at least the excess between {@code fromNs} and {@code atNs}.
     */
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

    /** Returns the result of the check. */
    CheckResult result(int invariant, String description) {
        return new CheckResult(invariant, description, cases, violations, inconclusive);
    }
}
