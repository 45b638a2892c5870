package brooklock.config;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Collects the mistakes of one settings file, so that all of them are reported at once. Not
 * thread-safe; a collector is used for one file and ends with {@link #throwIfAny}.
 */
public final class ProblemCollector {
    /** Line number of a mistake that concerns the file as a whole. */
    public static final int WHOLE_FILE = 0;

    private final String file;
    private final List<Problem> collected = new ArrayList<>();

    /** Creates an empty collector for the file named {@code file}. */
    public ProblemCollector(String file) {
        this.file = file;
    }

    /**
     * Adds a mistake.
     *
     * @param line the number of the line, from 1, or {@link #WHOLE_FILE}
     * @param message what was expected and what was received
     */
    public void add(int line, String message) {
        collected.add(new Problem(file, line, message));
    }

    /**
     * Runs a check. If it throws an {@link InvalidStatementException}, adds its message as a
     * mistake in the line.
     */
    public void collect(int line, Runnable check) {
        try {
            check.run();
        } catch (InvalidStatementException e) {
            add(line, e.getMessage());
        }
    }

    /** Receives the statements of a text in the order of their lines. */
    public interface StatementHandler {
        /**
         * Handles one statement.
         *
         * @param statement the statement, none of whose words has been consumed
         * @param line the unparsed line
         * @throws InvalidStatementException if the statement is invalid; the exception is collected
         *     and reading continues with the next line
         */
        void onStatement(Statement statement, String line);
    }

    /** Reads every line of a text and collects the mistakes of each. */
    public void readStatements(String text, StatementHandler handler) {
        readStatements(text, Integer.MAX_VALUE, handler);
    }

    /**
     * Reads the first {@code maxLines} lines of a text and collects the mistakes of each. A longer
     * text is itself a mistake.
     */
    public void readStatements(String text, int maxLines, StatementHandler handler) {
        String[] lines = text.split("\r?\n", -1);
        for (int i = 0; i < lines.length && i < maxLines; i++) {
            int number = i + 1;
            String line = lines[i];
            collect(
                    number,
                    () -> {
                        Statement statement = Statement.parse(number, line);
                        if (statement != null) {
                            handler.onStatement(statement, line);
                        }
                    });
        }
        if (lines.length > maxLines) {
            add(
                    WHOLE_FILE,
                    "expected at most "
                            + maxLines
                            + " lines in the file but received "
                            + lines.length);
        }
    }

    /**
     * Reports the collected mistakes.
     *
     * @throws SettingsException with all mistakes in the order of their lines, if there are any
     */
    public void throwIfAny() throws SettingsException {
        if (!collected.isEmpty()) {
            collected.sort(Comparator.comparingInt(Problem::line));
            throw new SettingsException(collected);
        }
    }
}
