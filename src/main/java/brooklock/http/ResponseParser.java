package brooklock.http;

import java.nio.ByteBuffer;

/** Parses the heads of responses, interim ones too, one after another (RFC 9112, section 4). */
public final class ResponseParser {
    private final HttpLimits limits;
    private final LineReader lineReader = new LineReader();
    private final FieldSectionParser fieldParser;
    private String startLine;

    /** Creates a parser with its limits. */
    public ResponseParser(HttpLimits limits) {
        this.limits = limits;
        fieldParser =
                new FieldSectionParser(
                        limits, lineReader, HttpStatus.BAD_GATEWAY, HttpStatus.BAD_GATEWAY);
    }

    /**
     * Parses the next head.
     *
     * @param in is consumed up to the end of the head; the body stays in it
     * @return the head, or null when the buffer is used up first
     * @throws HttpProtocolException with 502 if it is not a head, or exceeds a limit; the parser is
     *     of no more use then
     */
    public ResponseHead next(ByteBuffer in) throws HttpProtocolException {
        if (startLine == null) {
            startLine =
                    lineReader.next(
                            in,
                            limits.maxStartLineBytes(),
                            HttpStatus.BAD_GATEWAY,
                            HttpStatus.BAD_GATEWAY);
            if (startLine == null) {
                return null;
            }
        }
        Fields fields = fieldParser.next(in);
        if (fields == null) {
            return null;
        }
        String line = startLine;
        startLine = null;
        return parseHead(line, fields);
    }

    // "HTTP/1.1 200 OK": the version ends at 8, the status stands at 9 to 11, the reason follows.
    private static ResponseHead parseHead(String line, Fields fields) throws HttpProtocolException {
        if (line.length() < 12
                || line.charAt(8) != ' '
                || (line.length() > 12 && line.charAt(12) != ' ')) {
            throw badGateway("not a status line");
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
                throw badGateway("status is not three digits");
            }
            status = status * 10 + line.charAt(i) - '0';
        }
        String reasonPhrase = line.length() > 13 ? line.substring(13).trim() : "";
        if (status < 100 || status > 599 || !HttpCharacters.isFieldValue(reasonPhrase)) {
            throw badGateway("no such status");
        }
        return new ResponseHead(status, reasonPhrase, minorVersion, fields);
    }

    private static HttpProtocolException badGateway(String reason) {
        return new HttpProtocolException(HttpStatus.BAD_GATEWAY, reason);
    }
}
