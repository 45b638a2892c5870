package brooklock.config;

import java.util.Map;

/**
 * Numbers with their units. A time, size or rate without its unit is a mistake, since 500 may mean
 * 500 ms or 500 s.
 */
public final class Units {
    private static final Map<String, Double> DURATION_UNITS =
            Map.of("us", 1e3, "ms", 1e6, "s", 1e9, "min", 60e9, "h", 3600e9);
    private static final Map<String, Double> SIZE_UNITS =
            Map.of("B", 1.0, "KB", 1e3, "MB", 1e6, "GB", 1e9);
    private static final String PER_SECOND = "/s";

    private Units() {}

    /**
     * Parses a duration.
     *
     * @return nanoseconds
     * @throws InvalidStatementException if it is not a number with a unit
     */
    public static long parseDurationNs(String text) {
        return (long)
                parseWithUnit(
                        text, DURATION_UNITS, "a time needs its unit, as in 500ms, 2s or 5min");
    }

    /**
     * Parses a size.
     *
     * @return bytes
     * @throws InvalidStatementException if it is not a number with a unit
     */
    public static long parseBytes(String text) {
        return (long) parseWithUnit(text, SIZE_UNITS, "a size needs its unit, as in 64KB or 1MB");
    }

    /**
     * Parses a transfer rate.
     *
     * @return bytes a second
     * @throws InvalidStatementException if it is not a size with "/s"
     */
    public static double parseBytesPerSecond(String text) {
        return parseWithUnit(
                withoutPerSecond(text, "a pace needs its unit, as in 5MB/s"),
                SIZE_UNITS,
                "a pace needs its unit, as in 5MB/s");
    }

    /**
     * Parses a rate.
     *
     * @return events a second
     * @throws InvalidStatementException if it is not a number with "/s"
     */
    public static double parseRatePerSecond(String text) {
        return parseNumber(withoutPerSecond(text, "a rate needs its unit, as in 200/s"));
    }

    private static String withoutPerSecond(String text, String expectation) {
        if (!text.endsWith(PER_SECOND)) {
            throw new InvalidStatementException("'" + text + "': " + expectation);
        }
        return text.substring(0, text.length() - PER_SECOND.length());
    }

    /**
     * Parses a plain number, 0 or more.
     *
     * @throws InvalidStatementException if it is not one
     */
    public static double parseNumber(String text) {
        int end = numericPrefixLength(text);
        if (end == 0 || end < text.length()) {
            throw new InvalidStatementException("'" + text + "' is not a number");
        }
        return Double.parseDouble(text);
    }

    private static double parseWithUnit(
            String text, Map<String, Double> units, String expectation) {
        int end = numericPrefixLength(text);
        Double unit = units.get(text.substring(end));
        if (end == 0 || unit == null) {
            throw new InvalidStatementException("'" + text + "': " + expectation);
        }
        return Double.parseDouble(text.substring(0, end)) * unit;
    }

    // 0 where it does not begin with digits, or has a dot too many or without digits after it.
    private static int numericPrefixLength(String text) {
        int i = 0;
        int dots = 0;
        while (i < text.length()
                && ((text.charAt(i) >= '0' && text.charAt(i) <= '9') || text.charAt(i) == '.')) {
            dots += text.charAt(i) == '.' ? 1 : 0;
            i++;
        }
        boolean endsWithDot = i > 0 && text.charAt(i - 1) == '.';
        return dots > 1 || i == dots || endsWithDot ? 0 : i;
    }
}
