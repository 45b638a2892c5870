package brooklock.config;

import java.util.Map;

/**
 * Parses numbers with their units. A time, size or rate without a unit is rejected, since 500 may
 * mean 500 ms or 500 s.
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
     * @return the duration in nanoseconds
     * @throws InvalidStatementException if the text is not a decimal number with a unit of time
     */
    public static long parseDurationNs(String text) {
        return (long)
                parseWithUnit(
                        text,
                        DURATION_UNITS,
                        "a time needs its unit (us, ms, s, min or h) after a decimal number, as"
                                + " in 500ms");
    }

    /**
     * Parses a size.
     *
     * @return the size in bytes
     * @throws InvalidStatementException if the text is not a decimal number with a unit of size
     */
    public static long parseBytes(String text) {
        return (long)
                parseWithUnit(
                        text,
                        SIZE_UNITS,
                        "a size needs its unit (B, KB, MB or GB) after a decimal number, as in"
                                + " 64KB");
    }

    /**
     * Parses a transfer rate.
     *
     * @return the transfer rate in bytes per second
     * @throws InvalidStatementException if the text is not a size followed by "/s"
     */
    public static double parseBytesPerSecond(String text) {
        return parseWithUnit(
                withoutPerSecond(
                        text, "a pace needs its unit (B, KB, MB or GB) and /s, as in 5MB/s"),
                SIZE_UNITS,
                "a pace needs its unit (B, KB, MB or GB) and /s, as in 5MB/s");
    }

    /**
     * Parses a rate.
     *
     * @return the rate in events per second
     * @throws InvalidStatementException if the text is not a decimal number followed by "/s"
     */
    public static double parseRatePerSecond(String text) {
        return parseNumber(
                withoutPerSecond(
                        text, "a rate needs its unit (/s) after a decimal number, as in 200/s"));
    }

    private static String withoutPerSecond(String text, String expectation) {
        if (!text.endsWith(PER_SECOND)) {
            throw new InvalidStatementException("'" + text + "': " + expectation);
        }
        return text.substring(0, text.length() - PER_SECOND.length());
    }

    /**
     * Parses a decimal number without a sign or an exponent.
     *
     * @throws InvalidStatementException if the text is not such a number
     */
    public static double parseNumber(String text) {
        int end = numericPrefixLength(text);
        if (end == 0 || end < text.length()) {
            throw new InvalidStatementException(
                    "expected a decimal number of 0 or more but received '" + text + "'");
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

    // Returns the length of the decimal number at the beginning of the text, or 0 if there is none,
    // if it has more than one dot, or if no digit follows the dot.
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
