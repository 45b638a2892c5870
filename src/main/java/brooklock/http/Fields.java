package brooklock.http;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/**
 * Field lines in their order (RFC 9110, section 5). Names are compared without regard to case.
 * Mutable and not thread-safe.
 */
public final class Fields {
    private final List<String> names = new ArrayList<>(12);
    private final List<String> values = new ArrayList<>(12);

    /**
     * Adds a field line.
     *
     * @throws InvalidMessageException if the name or the value could end the line early
     */
    public Fields add(String name, String value) {
        if (!HttpCharacters.isToken(name) || !HttpCharacters.isFieldValue(value)) {
            throw new InvalidMessageException("not a field line: " + name);
        }
        return addParsed(name, value);
    }

    /** Adds a line that the parser has checked. */
    Fields addParsed(String name, String value) {
        names.add(name);
        values.add(value);
        return this;
    }

    /**
     * Puts one line in place of all lines of its name.
     *
     * @throws InvalidMessageException if the name or the value could end the line early
     */
    public Fields set(String name, String value) {
        remove(name);
        return add(name, value);
    }

    /** The first value of a name, or null. */
    public String get(String name) {
        for (int i = 0; i < names.size(); i++) {
            if (names.get(i).equalsIgnoreCase(name)) {
                return values.get(i);
            }
        }
        return null;
    }

    /** The values of all lines of a name, joined by commas, or null where there is none. */
    public String combinedValue(String name) {
        String combined = null;
        for (int i = 0; i < names.size(); i++) {
            if (names.get(i).equalsIgnoreCase(name)) {
                combined = combined == null ? values.get(i) : combined + ", " + values.get(i);
            }
        }
        return combined;
    }

    /** Number of lines that have a name. */
    public int count(String name) {
        int matches = 0;
        for (String candidate : names) {
            matches += candidate.equalsIgnoreCase(name) ? 1 : 0;
        }
        return matches;
    }

    /** Whether the comma-separated list of a name holds a token, without regard to case. */
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

    /** Number of lines. */
    public int size() {
        return names.size();
    }

    /** The name of line {@code i}, in its own case. */
    public String name(int i) {
        return names.get(i);
    }

    /** The value of line {@code i}, without white space around it. */
    public String value(int i) {
        return values.get(i);
    }

    @Override
    public boolean equals(Object o) {
        return o instanceof Fields f && f.names.equals(names) && f.values.equals(values);
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
