package brooklock.config;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * One statement: the words of a line, which are consumed one after another. Words are separated by
 * blanks; a word with blanks is enclosed in quotes; {@code #} begins a comment. All methods that
 * consume a word throw {@link InvalidStatementException} if the word is missing or invalid.
 *
 * <p>Not thread-safe.
 */
public final class Statement {
    /** Maximum length of a line; longer lines occur only in files that are not settings files. */
    static final int MAX_LINE_CHARS = 4096;

    /** Maximum number of lines of a file. */
    static final int MAX_LINES = 100_000;

    private static final int MAX_PORT = 65535;

    private final int lineNumber;
    private final List<String> words;
    private int position;

    private Statement(int lineNumber, List<String> words) {
        this.lineNumber = lineNumber;
        this.words = words;
    }

    /**
     * Splits a line into words.
     *
     * @param lineNumber the number of the line, from 1
     * @return the statement, or null if the line is empty or a comment
     * @throws InvalidStatementException if the line is too long or has a control character or an
     *     unclosed quote
     */
    public static Statement parse(int lineNumber, String text) {
        if (text.length() > MAX_LINE_CHARS) {
            throw new InvalidStatementException(
                    "expected at most "
                            + MAX_LINE_CHARS
                            + " characters in a line but received "
                            + text.length());
        }
        List<String> words = new ArrayList<>();
        int i = 0;
        while (i < text.length() && text.charAt(i) != '#') {
            char c = text.charAt(i);
            if (c == ' ' || c == '\t') {
                i++;
            } else if (c == '"') {
                int end = text.indexOf('"', i + 1);
                if (end < 0) {
                    throw new InvalidStatementException(
                            "expected a closing quote for the quote in column "
                                    + (i + 1)
                                    + " but the line ends");
                }
                words.add(text.substring(i + 1, end));
                i = end + 1;
            } else if (c < 32 || c == 127) {
                throw new InvalidStatementException(
                        "expected printable text but received the control character "
                                + (int) c
                                + " in column "
                                + (i + 1));
            } else {
                int start = i;
                while (i < text.length() && " \t\"".indexOf(text.charAt(i)) < 0) {
                    i++;
                }
                words.add(text.substring(start, i));
            }
        }
        return words.isEmpty() ? null : new Statement(lineNumber, words);
    }

    /** Returns the number of the statement's line, from 1. */
    public int lineNumber() {
        return lineNumber;
    }

    /** Returns whether unread words remain in the statement. */
    public boolean hasMore() {
        return position < words.size();
    }

    /**
     * Consumes and returns the next word.
     *
     * @param expected a description of the word for the error message if it is missing
     */
    public String nextWord(String expected) {
        if (!hasMore()) {
            throw new InvalidStatementException(
                    "the line ends after '"
                            + words.get(position - 1)
                            + "' but the statement '"
                            + words.get(0)
                            + "' requires "
                            + expected);
        }
        return words.get(position++);
    }

    /** Consumes the next word, which must be the name of an enum constant in lower case. */
    public <E extends Enum<E>> E nextEnum(Class<E> type, String expected) {
        String word = nextWord(expected);
        StringBuilder allowed = new StringBuilder();
        for (E constant : type.getEnumConstants()) {
            String name = constant.name().toLowerCase(Locale.ROOT);
            if (name.equals(word)) {
                return constant;
            }
            allowed.append(allowed.length() == 0 ? "" : ", ").append(name);
        }
        throw new InvalidStatementException(
                "'" + word + "' is not " + expected + " (expected one of: " + allowed + ")");
    }

    /** Consumes the next word, which must be a duration, and returns it in nanoseconds. */
    public long nextDurationNs(String expected) {
        return Units.parseDurationNs(nextWord(expected));
    }

    /** Consumes the next word, which must be a number of 0 or more. */
    public double nextNumber(String expected) {
        return Units.parseNumber(nextWord(expected));
    }

    /** Consumes the next word, which must be a whole number from 1. */
    public int nextPositiveInt(String expected) {
        double number = nextNumber(expected);
        if (number != Math.rint(number) || number < 1 || number > Integer.MAX_VALUE) {
            throw new InvalidStatementException(
                    "expected a whole number from 1 to "
                            + Integer.MAX_VALUE
                            + " for "
                            + expected
                            + " but received "
                            + number);
        }
        return (int) number;
    }

    /** Consumes the next word, which must be a fraction above 0 and at most 1. */
    double nextFraction() {
        double fraction = nextNumber("a share");
        if (fraction <= 0 || fraction > 1) {
            throw new InvalidStatementException(
                    "a share lies above 0 and is at most 1 but " + fraction + " was received");
        }
        return fraction;
    }

    /** Consumes the next word, which must be yes or no, and returns whether it is yes. */
    public boolean nextBoolean(String option) {
        String word = nextWord(option);
        if (!word.equals("yes") && !word.equals("no")) {
            throw new InvalidStatementException(
                    "expected yes or no for '" + option + "' but received '" + word + "'");
        }
        return word.equals("yes");
    }

    /**
     * Consumes the next word, which must be a numeric address and a port. Host names are not
     * accepted: resolving them may block, and the result may change while the program runs.
     */
    InetSocketAddress nextAddress(String expected) {
        String text = nextWord(expected);
        int colon = text.lastIndexOf(':');
        String port = text.substring(colon + 1);
        String host = colon < 0 ? "" : text.substring(0, colon).replaceAll("^\\[|\\]$", "");
        boolean numeric =
                host.matches("\\d{1,3}(\\.\\d{1,3}){3}")
                        || host.matches("[0-9a-fA-F:.]*:[0-9a-fA-F:.]*");
        if (!numeric || !port.matches("\\d{1,5}") || Integer.parseInt(port) > MAX_PORT) {
            throw new InvalidStatementException(
                    "expected a numeric address and a port of at most "
                            + MAX_PORT
                            + ", as in 127.0.0.1:8080, but received '"
                            + text
                            + "'");
        }
        return new InetSocketAddress(host, Integer.parseInt(port));
    }

    /**
     * Checks that all words have been consumed.
     *
     * @throws InvalidStatementException if a word remains
     */
    public void expectEnd() {
        if (hasMore()) {
            throw new InvalidStatementException(
                    "expected the end of the line after '"
                            + words.get(position - 1)
                            + "' but received '"
                            + words.get(position)
                            + "'");
        }
    }
}
