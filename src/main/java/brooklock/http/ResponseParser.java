package brooklock.http;

import java.nio.ByteBuffer;

/**
 * Parses the heads of the responses of one connection, interim responses included, one after
 * another (RFC 9112, section 4). The caller decodes the body between two heads.
 *
 * <p>Not thread-safe.
 */
public final class ResponseParser {
    private final HttpLimits limits;
    private final LineReader lineReader = new LineReader();
    private final FieldSectionParser fieldParser;
    private String startLine;

    /** Creates a parser that rejects heads that exceed {@code limits}. */
    public ResponseParser(HttpLimits limits) {
        this.limits = limits;
        fieldParser =
                new FieldSectionParser(
                        limits, lineReader, HttpStatus.BAD_GATEWAY, HttpStatus.BAD_GATEWAY);
    }

    /**
     * Parses the next head.
     *
     * @param input the received bytes, which are consumed up to the end of the head; the body
     *     remains in the buffer
     * @return the head, or null if the buffer is used up first
     * @throws HttpProtocolException with 502 if the head is malformed, not supported or exceeds a
     *     limit; the parser must not be used after that
     */
    public ResponseHead next(ByteBuffer input) throws HttpProtocolException {
        if (startLine == null) {
            startLine =
                    lineReader.next(
                            input,
                            limits.maxStartLineBytes(),
                            HttpStatus.BAD_GATEWAY,
                            HttpStatus.BAD_GATEWAY);
            if (startLine == null) {
                return null;
            }
        }
        Fields fields = fieldParser.next(input);
        if (fields == null) {
            return null;
        }
        String line = startLine;
        startLine = null;
        return parseHead(line, fields);
    }

    // In "HTTP/1.1 200 OK" the version ends at offset 8, the status code is at offsets 9 to 11, and
    // the reason phrase begins at offset 13.
    private static ResponseHead parseHead(String line, Fields fields) throws HttpProtocolException {
        if (line.length() < 12
                || line.charAt(8) != ' '
                || (line.length() > 12 && line.charAt(12) != ' ')) {
            throw badGateway(
                    "expected a status line, as in 'HTTP/1.1 200 OK', but received a line of "
                            + line.length()
                            + " bytes in another form");
        }
        int minorVersion;
        try {
            minorVersion = RequestParser.parseMinorVersion(line.substring(0, 8));
        } catch (HttpProtocolException e) {
            throw new HttpProtocolException(HttpStatus.BAD_GATEWAY, e.getMessage(), e);
        }
        int status = 0;
        for (int i = 9; i < 12; i++) {
            if (line.charAt(i) < '0' || line.charAt(i) > '9') {
                throw badGateway(
                        "expected the three digits of the status code at offsets 9 to 11 of the"
                                + " status line but received another character at offset "
                                + i);
            }
            status = status * 10 + line.charAt(i) - '0';
        }
        String reasonPhrase = line.length() > 13 ? line.substring(13).trim() : "";
        if (status < 100 || status > 599 || !HttpCharacters.isFieldValue(reasonPhrase)) {
            throw badGateway(
                    "expected a status code from 100 to 599 and a reason phrase without control"
                            + " characters but received the status code "
                            + status
                            + " and a reason phrase of "
                            + reasonPhrase.length()
                            + " characters");
        }
        return new ResponseHead(status, reasonPhrase, minorVersion, fields);
    }

    private static HttpProtocolException badGateway(String reason) {
        return new HttpProtocolException(HttpStatus.BAD_GATEWAY, reason);
    }
}
