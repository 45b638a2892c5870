package brooklock.config;

import java.util.List;
import java.util.stream.Collectors;

/** Settings that cannot be used, with every mistake found in them. */
public final class SettingsException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * The mistakes, in the order of their lines; lost in serialization, as the message has them.
     */
    public final transient List<Problem> problems;

    /** Creates an exception; its message has one mistake a line. */
    public SettingsException(List<Problem> problems) {
        super(problems.stream().map(Problem::toString).collect(Collectors.joining("\n")));
        this.problems = List.copyOf(problems);
    }
}
