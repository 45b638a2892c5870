package brooklock.faulttest;

import java.util.List;
import java.util.stream.Collectors;

/**
 * The result of checking one invariant.
 *
 * @param invariant the number of the invariant in docs/fault-testing.md
 * @param description what was checked, as printed in the report
 * @param cases number of recorded cases to which the invariant applies
 * @param violations a description of each violation
 * @param inconclusive a description of each case that exceeds its bound by no more than a recorded
 *     delay of the harness, which may have caused it
 */
record CheckResult(
        int invariant,
        String description,
        long cases,
        List<String> violations,
        List<String> inconclusive) {
    private static final int MAX_FINDINGS_SHOWN = 5;

    /**
     * Returns whether at least one case was seen and none was a violation or inconclusive. An
     * invariant for which no case was recorded does not hold.
     */
    boolean holds() {
        return cases > 0 && violations.isEmpty() && inconclusive.isEmpty();
    }

    private String verdict() {
        if (!violations.isEmpty()) {
            return violations.size() + " BREACHES";
        }
        if (!inconclusive.isEmpty()) {
            return "COULD NOT BE JUDGED";
        }
        return cases == 0 ? "NOT SEEN" : "kept";
    }

    /** Returns the lines of the report. */
    @Override
    public String toString() {
        String late =
                inconclusive.isEmpty()
                        ? ""
                        : ", " + inconclusive.size() + " while the rig was late";
        return "rule "
                + invariant
                + ", "
                + description
                + ": "
                + cases
                + " cases, "
                + verdict()
                + late
                + formatFindings(violations, "\n    ")
                + formatFindings(inconclusive, "\n    (rig late) ");
    }

    private static String formatFindings(List<String> findings, String indent) {
        return findings.stream()
                .limit(MAX_FINDINGS_SHOWN)
                .map(finding -> indent + finding)
                .collect(Collectors.joining());
    }
}
