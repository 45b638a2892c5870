package brooklock.config;

import java.util.ArrayList;
import java.util.List;

/**
 * A path with places in braces, as in {@code /scans/{object}/{part}}. A place takes one segment,
 * {@code {rest}} at the end takes all that is left.
 */
public final class PathPattern {
    private final String text;
    private final List<String> segments = new ArrayList<>();

    /** Reads a pattern; a wrong one throws with the reason. */
    public PathPattern(String text) {
        this.text = text;
        if (!text.startsWith("/")) {
            throw new IllegalArgumentException("the path '" + text + "' must begin with /");
        }
        for (String s : text.substring(1).split("/", -1)) {
            boolean place = s.startsWith("{") && s.endsWith("}") && s.length() > 2;
            if (!place && (s.contains("{") || s.contains("}"))) {
                throw new IllegalArgumentException(
                        "a place in braces is a whole segment of the path: '" + s + "'");
            }
            if (place && segments.contains(s)) {
                throw new IllegalArgumentException("the path names the place " + s + " twice");
            }
            if (!segments.isEmpty() && segments.get(segments.size() - 1).equals("{rest}")) {
                throw new IllegalArgumentException("nothing can follow {rest}");
            }
            segments.add(s);
        }
    }

    /** Whether it has a place of this name. */
    public boolean hasPlaceholder(String placeholder) {
        return segments.contains("{" + placeholder + "}");
    }

    /** Whether a path (without its query) fits. */
    public boolean matches(String path) {
        return match(path, null) != null;
    }

    /** What stands at a place, or null if the path does not fit or there is no such place. */
    public String extract(String path, String placeholder) {
        return hasPlaceholder(placeholder) ? match(path, "{" + placeholder + "}") : null;
    }

    /** The path with a star where a place stands: what its parts have in common. */
    public String withoutPlaceholder(String path, String placeholder) {
        String part = hasPlaceholder(placeholder) ? extract(path, placeholder) : null;
        if (part == null) {
            return path;
        }
        int index = segments.indexOf("{" + placeholder + "}");
        int from = 1;
        for (int i = 0; i < index; i++) {
            from = path.indexOf('/', from) + 1;
        }
        return path.substring(0, from) + "*" + path.substring(from + part.length());
    }

    // Null where it does not fit; the place's segment, or the path where none was asked or found.
    private String match(String path, String placeholder) {
        if (!path.startsWith("/")) {
            return null;
        }
        String found = path;
        int from = 1;
        for (int i = 0; i < segments.size(); i++) {
            String s = segments.get(i);
            if (from > path.length()) {
                return null;
            }
            int slash = path.indexOf('/', from);
            int end = slash < 0 || s.equals("{rest}") ? path.length() : slash;
            String part = path.substring(from, end);
            boolean open = s.startsWith("{");
            if (open ? part.isEmpty() && !s.equals("{rest}") : !part.equals(s)) {
                return null;
            }
            if (s.equals(placeholder)) {
                found = part;
            }
            from = end + 1;
        }
        return from > path.length() ? found : null;
    }

    @Override
    public String toString() {
        return text;
    }
}
