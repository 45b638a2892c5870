package brooklock.faulttest;

import java.util.List;
import java.util.stream.Collectors;

/**
 * What was found about one invariant.
 *
 * @param invariant its number in docs/fault-testing.md
 * @param description what was checked
 * @param cases how many cases of it were seen
 * @param violations each with what was seen
 * @param inconclusive what would be a violation, had the harness itself not been late by as much
 */
record CheckResult(
        int invariant,
        String description,
        long cases,
        List<String> violations,
        List<String> inconclusive) {
    private static final int MAX_FINDINGS_SHOWN = 5;

    /** Whether cases were seen and each of them was right; an unseen invariant does not hold. */
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

    /** The lines of the report. */
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
