package brooklock.http;

/**
 * How a body ends (RFC 9112, section 6.3).
 *
 * @param kind which of the four ways
 * @param length bytes of a fixed body, else 0
 */
public record Framing(Kind kind, long length) {
    /** The ways in which a body ends. */
    public enum Kind {
        NONE,
        FIXED,
        CHUNKED,
        UNTIL_CLOSE
    }

    /** No body at all. */
    public static final Framing NONE = new Framing(Kind.NONE, 0);

    /** Chunks until the last one. */
    public static final Framing CHUNKED = new Framing(Kind.CHUNKED, 0);

    /** All that comes until the connection is closed. */
    public static final Framing UNTIL_CLOSE = new Framing(Kind.UNTIL_CLOSE, 0);

    /** A body of so many bytes. */
    public static Framing fixed(long length) {
        return length == 0 ? NONE : new Framing(Kind.FIXED, length);
    }

    /**
     * How a request's body ends; ambiguous ones are refused, since two readers would cut them
     * differently.
     */
    public static Framing of(RequestHead head) throws HttpProtocolException {
        Framing framing = declared(head.fields(), head.minorVersion(), 400, 501);
        return framing == null ? NONE : framing;
    }

    /** How an answer's body ends, by the method that was asked. */
    public static Framing of(ResponseHead head, String method) throws HttpProtocolException {
        Framing framing = declared(head.fields(), head.minorVersion(), 502, 502);
        if (method.equals("HEAD")
                || head.status() < 200
                || head.status() == 204
                || head.status() == 304) {
            return NONE;
        }
        return framing == null ? UNTIL_CLOSE : framing;
    }

    private static Framing declared(
            Fields fields, int minorVersion, int badMessageStatus, int unknownCodingStatus)
            throws HttpProtocolException {
        String coding = fields.combinedValue("Transfer-Encoding");
        int lengthCount = fields.count("Content-Length");
        if (coding != null) {
            if (lengthCount > 0) {
                throw new HttpProtocolException(
                        badMessageStatus, "both Content-Length and Transfer-Encoding");
            }
            if (minorVersion < 1) {
                throw new HttpProtocolException(badMessageStatus, "Transfer-Encoding in HTTP/1.0");
            }
            if (!coding.equalsIgnoreCase("chunked")) {
                throw new HttpProtocolException(
                        unknownCodingStatus, "transfer coding other than chunked");
            }
            return CHUNKED;
        }
        if (lengthCount > 1) {
            throw new HttpProtocolException(badMessageStatus, "more than one Content-Length");
        }
        return lengthCount == 0
                ? null
                : fixed(length(fields.get("Content-Length"), badMessageStatus));
    }

    private static long length(String text, int badMessageStatus) throws HttpProtocolException {
        // Eighteen digits are the most that surely fit a long.
        if (text.isEmpty()
                || text.length() > 18
                || !text.chars().allMatch(c -> c >= '0' && c <= '9')) {
            throw new HttpProtocolException(
                    badMessageStatus, "Content-Length is not a number of bytes");
        }
        return Long.parseLong(text);
    }
}
