package brooklock.http;

import java.util.Map;

/** The reason phrases of the status codes that brooklock sends (RFC 9110, section 15). */
public final class ReasonPhrases {
    private static final Map<Integer, String> PHRASES =
            Map.ofEntries(
                    Map.entry(100, "Continue"),
                    Map.entry(200, "OK"),
                    Map.entry(201, "Created"),
                    Map.entry(204, "No Content"),
                    Map.entry(206, "Partial Content"),
                    Map.entry(304, "Not Modified"),
                    Map.entry(400, "Bad Request"),
                    Map.entry(403, "Forbidden"),
                    Map.entry(404, "Not Found"),
                    Map.entry(405, "Method Not Allowed"),
                    Map.entry(408, "Request Timeout"),
                    Map.entry(413, "Content Too Large"),
                    Map.entry(414, "URI Too Long"),
                    Map.entry(416, "Range Not Satisfiable"),
                    Map.entry(429, "Too Many Requests"),
                    Map.entry(431, "Request Header Fields Too Large"),
                    Map.entry(500, "Internal Server Error"),
                    Map.entry(501, "Not Implemented"),
                    Map.entry(502, "Bad Gateway"),
                    Map.entry(503, "Service Unavailable"),
                    Map.entry(504, "Gateway Timeout"),
                    Map.entry(505, "HTTP Version Not Supported"),
                    Map.entry(508, "Loop Detected"));

    private ReasonPhrases() {}

    /**
     * Returns the reason phrase of a status code, or an empty text for a code that is not listed
     * above.
     */
    public static String of(int status) {
        return PHRASES.getOrDefault(status, "");
    }
}
