package brooklock.http;

import java.nio.ByteBuffer;

/** Reads heads of answers, interim ones too, from buffers of any cut (RFC 9112, section 4). */
public final class ResponseParser {
    private final HttpLimits limits;
    private final LineReader lines = new LineReader();
    private final FieldReader reader;
    private String startLine;

    /** A parser with its bounds. */
    public ResponseParser(HttpLimits limits) {
        this.limits = limits;
        reader = new FieldReader(limits, lines, 502, 502);
    }

    /**
     * The next head, or null when the buffer ran out first; what follows the head stays in the
     * buffer.
     */
    public ResponseHead next(ByteBuffer in) throws HttpProblem {
        if (startLine == null) {
            startLine = lines.next(in, limits.startLine(), 502, 502);
            if (startLine == null) {
                return null;
            }
        }
        Fields fields = reader.next(in);
        if (fields == null) {
            return null;
        }
        String line = startLine;
        startLine = null;
        return head(line, fields);
    }

    private static ResponseHead head(String line, Fields fields) throws HttpProblem {
        if (line.length() < 12
                || line.charAt(8) != ' '
                || line.length() > 12 && line.charAt(12) != ' ') {
            throw new HttpProblem(502, "not a status line");
        }
        int minor;
        try {
            minor = RequestParser.minor(line.substring(0, 8));
        } catch (HttpProblem e) {
            throw new HttpProblem(502, e.getMessage());
        }
        int status = 0;
        for (int i = 9; i < 12; i++) {
            if (line.charAt(i) < '0' || line.charAt(i) > '9') {
                throw new HttpProblem(502, "status is not three digits");
            }
            status = status * 10 + line.charAt(i) - '0';
        }
        String reason = line.length() > 13 ? line.substring(13).trim() : "";
        if (status < 100 || status > 599 || !Chars.isFieldValue(reason)) {
            throw new HttpProblem(502, "no such status");
        }
        return new ResponseHead(status, reason, minor, fields);
    }
}
