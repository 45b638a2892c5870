package brooklock.http;

/**
 * The framing of a body, which determines where it ends (RFC 9112, section 6.3). Immutable.
 *
 * @param kind the kind of the framing
 * @param length the number of bytes of a {@link Kind#FIXED} body, else 0
 */
public record Framing(Kind kind, long length) {
    /** The ways in which the end of a body is determined. */
    public enum Kind {
        /** The message has no body. */
        NONE,
        /** The body has the length that Content-Length states. */
        FIXED,
        /** The body is sent in chunks and ends with the last chunk and the trailer section. */
        CHUNKED,
        /** The body lasts until the sender closes the connection. */
        UNTIL_CLOSE
    }

    /** The framing of a message without a body. */
    public static final Framing NONE = new Framing(Kind.NONE, 0);

    /** The framing of a body in chunks. */
    public static final Framing CHUNKED = new Framing(Kind.CHUNKED, 0);

    /** The framing of a body that lasts until the connection is closed. */
    public static final Framing UNTIL_CLOSE = new Framing(Kind.UNTIL_CLOSE, 0);

    /** Maximum number of decimal digits of a length; nineteen digits may overflow a long. */
    private static final int MAX_LENGTH_DIGITS = 18;

    /** Returns the framing of a body of {@code length} bytes; {@link #NONE} for 0. */
    public static Framing fixed(long length) {
        return length == 0 ? NONE : new Framing(Kind.FIXED, length);
    }

    /**
     * Returns the framing of a request's body.
     *
     * @throws HttpProtocolException with 400 if the framing is ambiguous, since two parsers could
     *     end the message in different places; with 501 if the transfer coding is not supported
     */
    public static Framing of(RequestHead head) throws HttpProtocolException {
        Framing framing =
                declaredFraming(
                        head.fields(),
                        head.minorVersion(),
                        HttpStatus.BAD_REQUEST,
                        HttpStatus.NOT_IMPLEMENTED);
        return framing == null ? NONE : framing;
    }

    /**
     * Returns the framing of a response's body.
     *
     * @param method the method of the request; the response to HEAD has no body
     * @throws HttpProtocolException with 502 if the framing is ambiguous or the transfer coding is
     *     not supported
     */
    public static Framing of(ResponseHead head, String method) throws HttpProtocolException {
        Framing framing =
                declaredFraming(
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

    // Returns the framing that the fields declare, or null if they declare none.
    private static Framing declaredFraming(
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
