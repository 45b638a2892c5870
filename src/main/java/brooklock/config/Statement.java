package brooklock.config;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * One statement: the words of a line, consumed one after another. Words are separated by blanks;
 * quotes hold a word with blanks together; {@code #} begins a comment. All methods that consume
 * words throw {@link InvalidStatementException} where the word is missing or wrong.
 */
public final class Statement {
    /** Longest line: a settings file is not a data file. */
    static final int MAX_LINE_CHARS = 4096;

    /** Most lines of a file. */
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
     * Splits a line.
     *
     * @param lineNumber its number, from 1
     * @return the statement, or null where the line is empty or a comment
     * @throws InvalidStatementException if the line is too long, has a control character, or a
     *     quote is not closed
     */
    public static Statement parse(int lineNumber, String text) {
        if (text.length() > MAX_LINE_CHARS) {
            throw new InvalidStatementException(
                    "the line is longer than " + MAX_LINE_CHARS + " characters");
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
                    throw new InvalidStatementException("a quote is not closed");
                }
                words.add(text.substring(i + 1, end));
                i = end + 1;
            } else if (c < 32 || c == 127) {
                throw new InvalidStatementException("a control character");
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

    /** The line's number, from 1. */
    public int lineNumber() {
        return lineNumber;
    }

    /** Whether words are left. */
    public boolean hasMore() {
        return position < words.size();
    }

    /** The next word; {@code what} names it in the message where it is missing. */
    public String nextWord(String expected) {
        if (!hasMore()) {
            throw new InvalidStatementException("'" + words.get(0) + "' needs " + expected);
        }
        return words.get(position++);
    }

    /** The next word, one of the constants of an enum in lower case. */
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
                "'" + word + "' is not " + expected + " (" + allowed + ")");
    }

    /** The next word as a duration, ns. */
    public long nextDurationNs(String expected) {
        return Units.parseDurationNs(nextWord(expected));
    }

    /** The next word as a number, 0 or more. */
    public double nextNumber(String expected) {
        return Units.parseNumber(nextWord(expected));
    }

    /** The next word as a whole number from 1. */
    public int nextPositiveInt(String expected) {
        double number = nextNumber(expected);
        if (number != Math.rint(number) || number < 1 || number > Integer.MAX_VALUE) {
            throw new InvalidStatementException(expected + " must be a whole number from 1");
        }
        return (int) number;
    }

    /** The next word as a fraction above 0 and up to 1. */
    double nextFraction() {
        double fraction = nextNumber("a share");
        if (fraction <= 0 || fraction > 1) {
            throw new InvalidStatementException("a share lies above 0 and is 1 at most");
        }
        return fraction;
    }

    /** The next word as yes or no. */
    public boolean nextBoolean(String option) {
        String word = nextWord(option);
        if (!word.equals("yes") && !word.equals("no")) {
            throw new InvalidStatementException("'" + word + "': " + option + " is yes or no");
        }
        return word.equals("yes");
    }

    /**
     * The next word as a numeric address and a port. Names are not looked up: that may block, and
     * may give another answer tomorrow.
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
                    "'" + text + "' is not an address and a port, as in 127.0.0.1:8080");
        }
        return new InetSocketAddress(host, Integer.parseInt(port));
    }

    /** Checks that no word is left. */
    public void expectEnd() {
        if (hasMore()) {
            throw new InvalidStatementException(
                    "'" + words.get(position) + "' is one word too many");
        }
    }
}
