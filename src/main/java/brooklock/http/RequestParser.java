package brooklock.http;

import java.nio.ByteBuffer;

/**
 * Reads heads of requests, one after another, from buffers of any cut (RFC 9112, sections 2 and 3).
 */
public final class RequestParser {
    // Empty lines before a request are passed over, as old clients send them, but not without end.
    private static final int EMPTY_LINES = 2;

    private final HttpLimits limits;
    private final LineReader lines = new LineReader();
    private final FieldReader reader;
    private String startLine;
    private int empty;

    /** A parser with its bounds. */
    public RequestParser(HttpLimits limits) {
        this.limits = limits;
        reader = new FieldReader(limits, lines, 400, 431);
    }

    /**
     * The next head, or null when the buffer ran out first; what follows the head stays in the
     * buffer.
     */
    public RequestHead next(ByteBuffer in) throws HttpProblem {
        while (startLine == null) {
            String line = lines.next(in, limits.startLine(), 414, 400);
            if (line == null) {
                return null;
            }
            if (line.isEmpty() && ++empty > EMPTY_LINES) {
                throw new HttpProblem(400, "empty lines in place of a request");
            }
            startLine = line.isEmpty() ? null : line;
        }
        Fields fields = reader.next(in);
        if (fields == null) {
            return null;
        }
        String line = startLine;
        startLine = null;
        empty = 0;
        return head(line, fields);
    }

    /** Whether a head has been begun and not ended. */
    public boolean midway() {
        return startLine != null || !lines.atStart();
    }

    private static RequestHead head(String line, Fields fields) throws HttpProblem {
        int one = line.indexOf(' ');
        int two = line.indexOf(' ', one + 1);
        if (one <= 0 || two < 0 || line.indexOf(' ', two + 1) >= 0) {
            throw new HttpProblem(400, "request line is not a method, a target and a version");
        }
        String method = line.substring(0, one);
        String target = line.substring(one + 1, two);
        int minor = minor(line.substring(two + 1));
        if (!Chars.isToken(method)) {
            throw new HttpProblem(400, "method is not a token");
        }
        if (!Chars.isTarget(target)) {
            throw new HttpProblem(400, "character in the target that no URI holds");
        }
        String host = host(fields, minor);
        if (method.equals("CONNECT")) {
            throw new HttpProblem(501, "no tunnels here");
        }
        if (target.startsWith("/") || target.equals("*") && method.equals("OPTIONS")) {
            return new RequestHead(method, target, host, minor, fields);
        }
        int slashes = target.indexOf("://");
        String scheme = slashes < 0 ? "" : target.substring(0, slashes);
        if (!scheme.equalsIgnoreCase("http") && !scheme.equalsIgnoreCase("https")) {
            throw new HttpProblem(400, "target is neither a path nor an http address");
        }
        // The authority of an absolute target counts, whatever Host says (RFC 9112, section 3.2.2).
        int from = slashes + 3;
        int end = from;
        while (end < target.length() && target.charAt(end) != '/' && target.charAt(end) != '?') {
            end++;
        }
        String authority = target.substring(from, end);
        if (!Chars.isAuthority(authority)) {
            throw new HttpProblem(400, "authority of the target is not a host");
        }
        String rest = target.substring(end);
        return new RequestHead(
                method, rest.startsWith("/") ? rest : "/" + rest, authority, minor, fields);
    }

    private static String host(Fields fields, int minor) throws HttpProblem {
        int n = fields.count("Host");
        if (n > 1 || n == 0 && minor >= 1) {
            throw new HttpProblem(400, n == 0 ? "no Host" : "more than one Host");
        }
        String host = n == 0 ? "" : fields.get("Host");
        if (!host.isEmpty() && !Chars.isAuthority(host)) {
            throw new HttpProblem(400, "Host is not a host");
        }
        return host;
    }

    static int minor(String version) throws HttpProblem {
        if (version.length() != 8
                || !version.startsWith("HTTP/")
                || version.charAt(6) != '.'
                || !Character.isDigit(version.charAt(5))
                || !Character.isDigit(version.charAt(7))) {
            throw new HttpProblem(400, "not a version of HTTP");
        }
        if (version.charAt(5) != '1') {
            throw new HttpProblem(505, "only HTTP/1 is spoken here");
        }
        return version.charAt(7) == '0' ? 0 : 1;
    }
}
