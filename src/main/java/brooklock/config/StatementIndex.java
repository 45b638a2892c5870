package brooklock.config;

import java.util.HashMap;
import java.util.Map;

/** Records the lines of the statements that a file may have only once. */
final class StatementIndex {
    private final Map<String, Integer> lines = new HashMap<>();

    /**
     * Records the line of a statement.
     *
     * @throws InvalidStatementException if a statement with the same keyword has been recorded
     */
    void requireOnce(String keyword, Statement statement) {
        Integer previousLine = lines.putIfAbsent(keyword, statement.lineNumber());
        if (previousLine != null) {
            throw new InvalidStatementException(
                    "expected the statement '"
                            + keyword
                            + "' at most once but line "
                            + previousLine
                            + " has it already");
        }
    }

    boolean contains(String keyword) {
        return lines.containsKey(keyword);
    }

    /** Returns the line of a statement, which must have been recorded. */
    int lineOf(String keyword) {
        return lines.get(keyword);
    }
}
