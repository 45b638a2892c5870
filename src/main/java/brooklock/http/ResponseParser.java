package brooklock.http;

import java.nio.ByteBuffer;

/** Reads heads of answers, interim ones too, from buffers of any cut (RFC 9112, section 4). */
public final class ResponseParser {
    private final HttpLimits limits;
    private final LineReader lineReader = new LineReader();
    private final FieldSectionParser fieldParser;
    private String startLine;

    /** A parser with its bounds. */
    public ResponseParser(HttpLimits limits) {
        this.limits = limits;
        fieldParser = new FieldSectionParser(limits, lineReader, 502, 502);
    }

    /**
     * The next head, or null when the buffer ran out first; what follows the head stays in the
     * buffer.
     */
    public ResponseHead next(ByteBuffer in) throws HttpProtocolException {
        if (startLine == null) {
            startLine = lineReader.next(in, limits.maxStartLineBytes(), 502, 502);
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

    private static ResponseHead parseHead(String line, Fields fields) throws HttpProtocolException {
        if (line.length() < 12
                || line.charAt(8) != ' '
                || line.length() > 12 && line.charAt(12) != ' ') {
            throw new HttpProtocolException(502, "not a status line");
        }
        int minorVersion;
        try {
            minorVersion = RequestParser.parseMinorVersion(line.substring(0, 8));
        } catch (HttpProtocolException e) {
            throw new HttpProtocolException(502, e.getMessage());
        }
        int status = 0;
        for (int i = 9; i < 12; i++) {
            if (line.charAt(i) < '0' || line.charAt(i) > '9') {
                throw new HttpProtocolException(502, "status is not three digits");
            }
            status = status * 10 + line.charAt(i) - '0';
        }
        String reasonPhrase = line.length() > 13 ? line.substring(13).trim() : "";
        if (status < 100 || status > 599 || !HttpCharacters.isFieldValue(reasonPhrase)) {
            throw new HttpProtocolException(502, "no such status");
        }
        return new ResponseHead(status, reasonPhrase, minorVersion, fields);
    }
}
