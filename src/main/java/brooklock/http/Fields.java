package brooklock.http;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/**
 * The field lines of a message in the order in which they were received or added (RFC 9110, section
 * 5). Names are compared without regard to case. Mutable and not thread-safe.
 */
public final class Fields {
    private final List<String> names = new ArrayList<>(12);
    private final List<String> values = new ArrayList<>(12);

    /**
     * Appends a field line.
     *
     * @throws InvalidMessageException if the name is not a token, or if the value has a character
     *     that could end the line early or white space at either end
     */
    public Fields add(String name, String value) {
        if (!HttpCharacters.isToken(name) || !HttpCharacters.isFieldValue(value)) {
            throw new InvalidMessageException(
                    "expected a token as the field name and a value without control characters or"
                            + " surrounding white space but received the field '"
                            + name
                            + "' with a value of "
                            + value.length()
                            + " characters");
        }
        return addParsed(name, value);
    }

    /** Appends a field line whose name and value the parser has validated. */
    Fields addParsed(String name, String value) {
        names.add(name);
        values.add(value);
        return this;
    }

    /**
     * Replaces all lines of a name by one line at the end.
     *
     * @throws InvalidMessageException if the name is not a token, or if the value has a character
     *     that could end the line early or white space at either end
     */
    public Fields set(String name, String value) {
        remove(name);
        return add(name, value);
    }

    /** Returns the value of the first line of a name, or null if there is none. */
    public String get(String name) {
        for (int i = 0; i < names.size(); i++) {
            if (names.get(i).equalsIgnoreCase(name)) {
                return values.get(i);
            }
        }
        return null;
    }

    /** Returns the values of all lines of a name, joined by commas, or null if there is none. */
    public String combinedValue(String name) {
        String combined = null;
        for (int i = 0; i < names.size(); i++) {
            if (names.get(i).equalsIgnoreCase(name)) {
                combined = combined == null ? values.get(i) : combined + ", " + values.get(i);
            }
        }
        return combined;
    }

    /** Returns the number of lines of a name. */
    public int count(String name) {
        int matches = 0;
        for (String candidate : names) {
            matches += candidate.equalsIgnoreCase(name) ? 1 : 0;
        }
        return matches;
    }

    /**
     * Returns whether the comma-separated list in the lines of a name contains a token. Tokens are
     * compared without regard to case.
     */
    public boolean hasToken(String name, String token) {
        String combined = combinedValue(name);
        if (combined == null) {
            return false;
        }
        for (String element : combined.split(",", -1)) {
            if (element.trim().equalsIgnoreCase(token)) {
                return true;
            }
        }
        return false;
    }

    /** Removes all lines of a name. */
    public Fields remove(String name) {
        return removeIf(candidate -> candidate.equalsIgnoreCase(name));
    }

    /** Removes all lines whose name the filter accepts. */
    public Fields removeIf(Predicate<String> nameFilter) {
        for (int i = names.size() - 1; i >= 0; i--) {
            if (nameFilter.test(names.get(i))) {
                names.remove(i);
                values.remove(i);
            }
        }
        return this;
    }

    /** Returns an independent copy. */
    public Fields copy() {
        Fields copy = new Fields();
        copy.names.addAll(names);
        copy.values.addAll(values);
        return copy;
    }

    /** Returns the number of field lines. */
    public int size() {
        return names.size();
    }

    /** Returns the name of line {@code i} in its original case. */
    public String name(int i) {
        return names.get(i);
    }

    /** Returns the value of line {@code i} without surrounding white space. */
    public String value(int i) {
        return values.get(i);
    }

    @Override
    public boolean equals(Object o) {
        return o instanceof Fields that && that.names.equals(names) && that.values.equals(values);
    }

    @Override
    public int hashCode() {
        return names.hashCode() * 31 + values.hashCode();
    }

    @Override
    public String toString() {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < names.size(); i++) {
            text.append(names.get(i)).append(": ").append(values.get(i)).append('\n');
        }
        return text.toString();
    }
}
