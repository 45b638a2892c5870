package brooklock.config;

import java.util.ArrayList;
import java.util.List;

/**
 * A path with placeholders in braces, as in {@code /scans/{object}/{part}}. A placeholder matches
 * one segment that is not empty; {@code {rest}}, which is allowed only at the end, matches the
 * remainder of the path. Immutable and thread-safe.
 */
public final class PathPattern {
    private static final String REST = "{rest}";

    private final String text;
    private final List<String> segments = new ArrayList<>();

    /**
     * Parses a pattern.
     *
     * @throws InvalidStatementException if the path does not begin with a slash, or a placeholder
     *     is not a whole segment, is used twice or follows {@code {rest}}
     */
    public PathPattern(String text) {
        this.text = text;
        if (!text.startsWith("/")) {
            throw new InvalidStatementException(
                    "expected a path that begins with / but received '" + text + "'");
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
                    "expected a placeholder in braces to be a whole segment of the path but"
                            + " received '"
                            + segment
                            + "'");
        }
        if (placeholder && segments.contains(segment)) {
            throw new InvalidStatementException(
                    "expected each placeholder at most once but received " + segment + " twice");
        }
        if (!segments.isEmpty() && segments.get(segments.size() - 1).equals(REST)) {
            throw new InvalidStatementException(
                    "expected {rest} to end the path but received '" + segment + "' after it");
        }
        segments.add(segment);
    }

    /** Returns whether the pattern has the placeholder {@code placeholder}. */
    public boolean hasPlaceholder(String placeholder) {
        return segments.contains("{" + placeholder + "}");
    }

    /** Returns whether the pattern matches a path, which must not include a query. */
    public boolean matches(String path) {
        return match(path, null) != null;
    }

    /**
     * Returns the text of a path that a placeholder matches, or null if the path does not match or
     * the pattern has no such placeholder.
     */
    public String extract(String path, String placeholder) {
        return hasPlaceholder(placeholder) ? match(path, "{" + placeholder + "}") : null;
    }

    /**
     * Returns a path with {@code *} in place of the text that a placeholder matches, or the path
     * itself if it does not match or the pattern has no such placeholder. All parts of an object
     * have the same path without their part number.
     */
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

    // Returns null if the path does not match. Otherwise returns the text that the placeholder
    // matches, or the whole path if the pattern has no such placeholder.
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
