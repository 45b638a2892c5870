package brooklock.faulttest;

import brooklock.testserver.TrafficRecorder;
import java.util.List;

/** The result of a fault test: the verdict on the invariants, and the service that clients got. */
public final class FaultTestResult {
    private static final int MAX_FAILURES_SHOWN = 5;

    /** Whether the invariants hold. */
    public enum Verdict {
        /** Cases of every invariant were seen, and all were right. */
        KEPT,
        /** An invariant was violated, or no case of it was seen. */
        BROKEN,
        /** The harness itself failed, or was too late to judge. */
        NOT_JUDGED
    }

    /**
     * A part that a client requested.
     *
     * @param dueNs when it was due, {@link System#nanoTime}
     * @param inTime whether it was served within its latency objective
     */
    public record RecordedClientRequest(String target, long dueNs, boolean inTime) {}

    /**
     * What a test has recorded.
     *
     * @param startedNs when the test began, {@link System#nanoTime}
     * @param traffic what reached the servers
     * @param requests what clients requested
     */
    public record Recording(
            long startedNs, TrafficRecorder traffic, List<RecordedClientRequest> requests) {}

    final List<CheckResult> checks;
    final ServiceReport serviceReport;
    private final List<String> harnessFailures;
    private final String attemptSummary;
    private final Recording recording;

    FaultTestResult(
            List<CheckResult> checks,
            ServiceReport serviceReport,
            List<String> harnessFailures,
            String attemptSummary,
            Recording recording) {
        this.checks = checks;
        this.serviceReport = serviceReport;
        this.harnessFailures = harnessFailures;
        this.attemptSummary = attemptSummary;
        this.recording = recording;
    }

    /** Whether every invariant was seen and holds. */
    public Verdict verdict() {
        if (!harnessFailures.isEmpty()) {
            return Verdict.NOT_JUDGED;
        }
        if (checks.stream().allMatch(CheckResult::holds)) {
            return Verdict.KEPT;
        }
        boolean violated = checks.stream().anyMatch(check -> !check.violations().isEmpty());
        boolean inconclusive = checks.stream().anyMatch(check -> !check.inconclusive().isEmpty());
        return !violated && inconclusive ? Verdict.NOT_JUDGED : Verdict.BROKEN;
    }

    /** Whether every invariant was seen and surely holds. */
    public boolean passed() {
        return verdict() == Verdict.KEPT;
    }

    /** Share of all requests that were served in time. */
    public double servedShare() {
        return serviceReport.all.inTimeShare();
    }

    /** What the test has recorded. */
    public Recording recording() {
        return recording;
    }

    /** The served shares on the scale random router = 0, informed router = 1, as text. */
    public String compareWith(FaultTestResult random, FaultTestResult oracle) {
        return serviceReport.compareWith(random.serviceReport, oracle.serviceReport);
    }

    /** The report, as it is printed. */
    public String report() {
        StringBuilder text = new StringBuilder();
        harnessFailures.stream()
                .limit(MAX_FAILURES_SHOWN)
                .forEach(
                        failure ->
                                text.append("the rig itself failed, nothing can be judged: ")
                                        .append(failure)
                                        .append('\n'));
        checks.forEach(check -> text.append(check).append('\n'));
        return text.append(serviceReport.report())
                .append("tries: ")
                .append(attemptSummary)
                .append('\n')
                .toString();
    }
}
