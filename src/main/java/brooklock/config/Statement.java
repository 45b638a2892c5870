package brooklock.config;

import java.util.ArrayList;
import java.util.List;

/**
 * One statement: its words and where it stands. Words are parted by blanks; quotes hold a word with
 * blanks together; {@code #} begins a comment.
 */
public final class Statement {
    // Longest line, characters, and longest file, lines: a settings file, not a data file.
    static final int MAX_LINE_CHARS = 4096;
    static final int MAX_LINES = 100_000;

    final String file;
    final int lineNumber;
    private final List<String> words;
    private int position;

    private Statement(String file, int lineNumber, List<String> words) {
        this.file = file;
        this.lineNumber = lineNumber;
        this.words = words;
    }

    /** The statement of a line, or null where it is empty. */
    public static Statement parse(String file, int lineNumber, String text) {
        if (text.length() > MAX_LINE_CHARS) {
            throw new IllegalArgumentException(
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
                    throw new IllegalArgumentException("a quote is not closed");
                }
                words.add(text.substring(i + 1, end));
                i = end + 1;
            } else if (c < 32 || c == 127) {
                throw new IllegalArgumentException("a control character");
            } else {
                int from = i;
                while (i < text.length() && " \t\"".indexOf(text.charAt(i)) < 0) {
                    i++;
                }
                words.add(text.substring(from, i));
            }
        }
        return words.isEmpty() ? null : new Statement(file, lineNumber, words);
    }

    /** Whether words are left. */
    public boolean hasMore() {
        return position < words.size();
    }

    /** The next word; {@code what} names it in the message where it is missing. */
    public String nextWord(String what) {
        if (!hasMore()) {
            throw new IllegalArgumentException("'" + words.get(0) + "' needs " + what);
        }
        return words.get(position++);
    }

    /** The next word, one of some. */
    public <E extends Enum<E>> E nextEnum(Class<E> type, String what) {
        String w = nextWord(what);
        StringBuilder all = new StringBuilder();
        for (E e : type.getEnumConstants()) {
            String name = e.name().toLowerCase(java.util.Locale.ROOT);
            if (name.equals(w)) {
                return e;
            }
            all.append(all.length() == 0 ? "" : ", ").append(name);
        }
        throw new IllegalArgumentException("'" + w + "' is not " + what + " (" + all + ")");
    }

    /** The next word as a time, ns. */
    public long nextDurationNs(String what) {
        return Units.parseDurationNs(nextWord(what));
    }

    /** The next word as a number, 0 or more. */
    public double nextNumber(String what) {
        return Units.parseNumber(nextWord(what));
    }

    /** The next word as a whole number from 1. */
    public int nextPositiveInt(String what) {
        double d = nextNumber(what);
        if (d != Math.rint(d) || d < 1 || d > Integer.MAX_VALUE) {
            throw new IllegalArgumentException(what + " must be a whole number from 1");
        }
        return (int) d;
    }

    /** The next word as yes or no. */
    public boolean nextBoolean(String what) {
        String w = nextWord(what);
        if (!w.equals("yes") && !w.equals("no")) {
            throw new IllegalArgumentException("'" + w + "': " + what + " is yes or no");
        }
        return w.equals("yes");
    }

    /** Says that no word may be left. */
    public void expectEnd() {
        if (hasMore()) {
            throw new IllegalArgumentException(
                    "'" + words.get(position) + "' is one word too many");
        }
    }
}
