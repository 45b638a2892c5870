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
        /** There is no body. */
        NONE,
        /** After a stated number of bytes. */
        FIXED,
        /** With the last chunk and its trailers. */
        CHUNKED,
        /** With the connection. */
        UNTIL_CLOSE
    }

    /** No body. */
    public static final Framing NONE = new Framing(Kind.NONE, 0);

    /** Chunks up to the last one. */
    public static final Framing CHUNKED = new Framing(Kind.CHUNKED, 0);

    /** All that arrives until the connection is closed. */
    public static final Framing UNTIL_CLOSE = new Framing(Kind.UNTIL_CLOSE, 0);

    /** Eighteen digits are the most that surely fit a long. */
    private static final int MAX_LENGTH_DIGITS = 18;

    /** A body of so many bytes. */
    public static Framing fixed(long length) {
        return length == 0 ? NONE : new Framing(Kind.FIXED, length);
    }

    /**
     * The framing of a request's body.
     *
     * @throws HttpProtocolException if the framing is ambiguous, since two readers would end the
     *     message in different places, or of an unknown coding
     */
    public static Framing of(RequestHead head) throws HttpProtocolException {
        Framing framing =
                declared(
                        head.fields(),
                        head.minorVersion(),
                        HttpStatus.BAD_REQUEST,
                        HttpStatus.NOT_IMPLEMENTED);
        return framing == null ? NONE : framing;
    }

    /**
     * The framing of a response's body.
     *
     * @param method the method of the request
     * @throws HttpProtocolException if the framing is ambiguous or of an unknown coding
     */
    public static Framing of(ResponseHead head, String method) throws HttpProtocolException {
        Framing framing =
                declared(
                        head.fields(),
                        head.minorVersion(),
                        HttpStatus.BAD_GATEWAY,
                        HttpStatus.BAD_GATEWAY);
        if (method.equals("HEAD")
                || head.status() < 200
                || head.status() == 204
                || head.status() == 304) {
            return NONE;
        }
        return framing == null ? UNTIL_CLOSE : framing;
    }

    // Null where the fields say nothing about it.
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
                : fixed(parseLength(fields.get("Content-Length"), badMessageStatus));
    }

    private static long parseLength(String text, int badMessageStatus)
            throws HttpProtocolException {
        if (text.isEmpty()
                || text.length() > MAX_LENGTH_DIGITS
                || !text.chars().allMatch(c -> c >= '0' && c <= '9')) {
            throw new HttpProtocolException(
                    badMessageStatus, "Content-Length is not a number of bytes");
        }
        return Long.parseLong(text);
    }
}
