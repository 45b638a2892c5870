package brooklock.config;

import java.util.List;
import java.util.stream.Collectors;

/** Thrown when settings cannot be used. Reports every mistake that was found in them. */
public final class SettingsException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * The mistakes in the order of their lines. They are not serialized, since the message contains
     * them.
     */
    public final transient List<Problem> problems;

    /** Creates an exception whose message has one line per mistake. */
    public SettingsException(List<Problem> problems) {
        super(problems.stream().map(Problem::toString).collect(Collectors.joining("\n")));
        this.problems = List.copyOf(problems);
    }
}
