package brooklock.config;

import java.util.HashMap;
import java.util.Map;

/** The lines of the statements that a file may hold only once. */
final class StatementIndex {
    private final Map<String, Integer> lines = new HashMap<>();

    /**
     * Registers a statement.
     *
     * @throws InvalidStatementException if the file holds one of this keyword already
     */
    void requireOnce(String keyword, Statement statement) {
        Integer previousLine = lines.putIfAbsent(keyword, statement.lineNumber());
        if (previousLine != null) {
            throw new InvalidStatementException(
                    "'" + keyword + "' stands in line " + previousLine + " already");
        }
    }

    boolean contains(String keyword) {
        return lines.containsKey(keyword);
    }

    /** The line of a statement that is known to stand in the file. */
    int lineOf(String keyword) {
        return lines.get(keyword);
    }
}
