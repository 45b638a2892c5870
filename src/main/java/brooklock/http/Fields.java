package brooklock.http;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/** Field lines in their order (RFC 9110, section 5). Names are compared without regard to case. */
public final class Fields {
    private final List<String> names = new ArrayList<>(12);
    private final List<String> values = new ArrayList<>(12);

    /** Adds a field line. A name or value that could end the line early is refused. */
    public Fields add(String name, String value) {
        if (!HttpCharacters.isToken(name) || !HttpCharacters.isFieldValue(value)) {
            throw new IllegalArgumentException("not a field line: " + name);
        }
        return addParsed(name, value);
    }

    Fields addParsed(String name, String value) {
        names.add(name);
        values.add(value);
        return this;
    }

    /** Puts one line in place of all of this name. */
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

    /** All lines of a name joined by a comma, or null where there is none. */
    public String combinedValue(String name) {
        String combined = null;
        for (int i = 0; i < names.size(); i++) {
            if (names.get(i).equalsIgnoreCase(name)) {
                combined = combined == null ? values.get(i) : combined + ", " + values.get(i);
            }
        }
        return combined;
    }

    /** How many lines have this name. */
    public int count(String name) {
        int matches = 0;
        for (String s : names) {
            matches += s.equalsIgnoreCase(name) ? 1 : 0;
        }
        return matches;
    }

    /** Whether a comma-separated list of a name holds a token, without regard to case. */
    public boolean hasToken(String name, String token) {
        String combined = combinedValue(name);
        if (combined == null) {
            return false;
        }
        for (String s : combined.split(",")) {
            if (s.trim().equalsIgnoreCase(token)) {
                return true;
            }
        }
        return false;
    }

    /** Removes all lines of a name. */
    public Fields remove(String name) {
        return removeIf(n -> n.equalsIgnoreCase(name));
    }

    /** Removes all lines whose name is named so. */
    public Fields removeIf(Predicate<String> nameFilter) {
        for (int i = names.size() - 1; i >= 0; i--) {
            if (nameFilter.test(names.get(i))) {
                names.remove(i);
                values.remove(i);
            }
        }
        return this;
    }

    /** A copy that changes alone. */
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

    /** Name of line {@code i}, as it was written. */
    public String name(int i) {
        return names.get(i);
    }

    /** Value of line {@code i}, without white space around it. */
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
