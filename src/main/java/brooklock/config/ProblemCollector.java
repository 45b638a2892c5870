package brooklock.config;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Collects the mistakes of one file, so that all of them are reported at once. */
public final class ProblemCollector {
    /** The line of a mistake that concerns the file as a whole. */
    public static final int WHOLE_FILE = 0;

    private final String file;
    private final List<Problem> collected = new ArrayList<>();

    /** Creates an empty collection for a file. */
    public ProblemCollector(String file) {
        this.file = file;
    }

    /** Adds a mistake. */
    public void add(int line, String message) {
        collected.add(new Problem(file, line, message));
    }

    /** Runs a check; an {@link InvalidStatementException} becomes a mistake in the line. */
    public void collect(int line, Runnable check) {
        try {
            check.run();
        } catch (InvalidStatementException e) {
            add(line, e.getMessage());
        }
    }

    /** Receives the statements of a text. */
    public interface StatementHandler {
        /**
         * Handles one statement.
         *
         * @param line the line as it was written
         * @throws InvalidStatementException if the statement is wrong; reading continues
         */
        void onStatement(Statement statement, String line);
    }

    /** Reads every line of a text; the mistakes of each are collected. */
    public void readStatements(String text, StatementHandler handler) {
        readStatements(text, Integer.MAX_VALUE, handler);
    }

    /** Reads the first {@code maxLines} lines of a text; more of them are a mistake. */
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
            add(WHOLE_FILE, "the file has over " + maxLines + " lines");
        }
    }

    /**
     * Ends the collection.
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
