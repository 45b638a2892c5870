package brooklock.config;

import java.util.ArrayList;
import java.util.List;

/**
 * A path with placeholders in braces, as in {@code /scans/{object}/{part}}. A placeholder stands
 * for one segment; {@code {rest}}, at the end only, stands for all that is left.
 */
public final class PathPattern {
    private static final String REST = "{rest}";

    private final String text;
    private final List<String> segments = new ArrayList<>();

    /**
     * Parses a pattern.
     *
     * @throws InvalidStatementException if it is wrong
     */
    public PathPattern(String text) {
        this.text = text;
        if (!text.startsWith("/")) {
            throw new InvalidStatementException("the path '" + text + "' must begin with /");
        }
        for (String segment : text.substring(1).split("/", -1)) {
            addSegment(segment);
        }
    }

    private void addSegment(String segment) {
        boolean placeholder =
                segment.startsWith("{") && segment.endsWith("}") && segment.length() > 2;
        if (!placeholder && (segment.contains("{") || segment.contains("}"))) {
            throw new InvalidStatementException(
                    "a place in braces is a whole segment of the path: '" + segment + "'");
        }
        if (placeholder && segments.contains(segment)) {
            throw new InvalidStatementException("the path names the place " + segment + " twice");
        }
        if (!segments.isEmpty() && segments.get(segments.size() - 1).equals(REST)) {
            throw new InvalidStatementException("nothing can follow {rest}");
        }
        segments.add(segment);
    }

    /** Whether the pattern has a placeholder of this name. */
    public boolean hasPlaceholder(String placeholder) {
        return segments.contains("{" + placeholder + "}");
    }

    /** Whether a path, without its query, matches. */
    public boolean matches(String path) {
        return match(path, null) != null;
    }

    /** The text that stands for a placeholder; null if the path does not match or there is none. */
    public String extract(String path, String placeholder) {
        return hasPlaceholder(placeholder) ? match(path, "{" + placeholder + "}") : null;
    }

    /** The path with a star in the place of a placeholder: what the parts of an object share. */
    public String withoutPlaceholder(String path, String placeholder) {
        String extracted = hasPlaceholder(placeholder) ? extract(path, placeholder) : null;
        if (extracted == null) {
            return path;
        }
        int index = segments.indexOf("{" + placeholder + "}");
        int segmentStart = 1;
        for (int i = 0; i < index; i++) {
            segmentStart = path.indexOf('/', segmentStart) + 1;
        }
        return path.substring(0, segmentStart)
                + "*"
                + path.substring(segmentStart + extracted.length());
    }

    // Null where the path does not match; else the placeholder's text, or the path if there is no
    // such placeholder.
    private String match(String path, String placeholder) {
        if (!path.startsWith("/")) {
            return null;
        }
        String result = path;
        int segmentStart = 1;
        for (int i = 0; i < segments.size(); i++) {
            String segment = segments.get(i);
            if (segmentStart > path.length()) {
                return null;
            }
            int slash = path.indexOf('/', segmentStart);
            int segmentEnd = slash < 0 || segment.equals(REST) ? path.length() : slash;
            String pathSegment = path.substring(segmentStart, segmentEnd);
            boolean isPlaceholder = segment.startsWith("{");
            if (isPlaceholder
                    ? pathSegment.isEmpty() && !segment.equals(REST)
                    : !pathSegment.equals(segment)) {
                return null;
            }
            if (segment.equals(placeholder)) {
                result = pathSegment;
            }
            segmentStart = segmentEnd + 1;
        }
        return segmentStart > path.length() ? result : null;
    }

    @Override
    public String toString() {
        return text;
    }
}
