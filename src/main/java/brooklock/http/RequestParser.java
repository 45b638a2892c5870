package brooklock.http;

import java.nio.ByteBuffer;

/**
 * Reads heads of requests, one after another, from buffers of any cut (RFC 9112, sections 2 and 3).
 */
public final class RequestParser {
    // Empty lines before a request are passed over, as old clients send them, but not without end.
    private static final int MAX_EMPTY_LINES = 2;

    private final HttpLimits limits;
    private final LineReader lineReader = new LineReader();
    private final FieldSectionParser fieldParser;
    private String startLine;
    private int emptyLines;

    /** A parser with its bounds. */
    public RequestParser(HttpLimits limits) {
        this.limits = limits;
        fieldParser = new FieldSectionParser(limits, lineReader, 400, 431);
    }

    /**
     * The next head, or null when the buffer ran out first; what follows the head stays in the
     * buffer.
     */
    public RequestHead next(ByteBuffer in) throws HttpProtocolException {
        while (startLine == null) {
            String line = lineReader.next(in, limits.maxStartLineBytes(), 414, 400);
            if (line == null) {
                return null;
            }
            if (line.isEmpty() && ++emptyLines > MAX_EMPTY_LINES) {
                throw new HttpProtocolException(400, "empty lines in place of a request");
            }
            startLine = line.isEmpty() ? null : line;
        }
        Fields fields = fieldParser.next(in);
        if (fields == null) {
            return null;
        }
        String line = startLine;
        startLine = null;
        emptyLines = 0;
        return parseHead(line, fields);
    }

    /** Whether a head has been begun and not ended. */
    public boolean isMidMessage() {
        return startLine != null || !lineReader.isEmpty();
    }

    private static RequestHead parseHead(String line, Fields fields) throws HttpProtocolException {
        int methodEnd = line.indexOf(' ');
        int targetEnd = line.indexOf(' ', methodEnd + 1);
        if (methodEnd <= 0 || targetEnd < 0 || line.indexOf(' ', targetEnd + 1) >= 0) {
            throw new HttpProtocolException(
                    400, "request line is not a method, a target and a version");
        }
        String method = line.substring(0, methodEnd);
        String target = line.substring(methodEnd + 1, targetEnd);
        int minorVersion = parseMinorVersion(line.substring(targetEnd + 1));
        if (!HttpCharacters.isToken(method)) {
            throw new HttpProtocolException(400, "method is not a token");
        }
        if (!HttpCharacters.isTarget(target)) {
            throw new HttpProtocolException(400, "character in the target that no URI holds");
        }
        String hostField = parseHost(fields, minorVersion);
        if (method.equals("CONNECT")) {
            throw new HttpProtocolException(501, "no tunnels here");
        }
        if (target.startsWith("/") || target.equals("*") && method.equals("OPTIONS")) {
            return new RequestHead(method, target, hostField, minorVersion, fields);
        }
        int slashes = target.indexOf("://");
        String scheme = slashes < 0 ? "" : target.substring(0, slashes);
        if (!scheme.equalsIgnoreCase("http") && !scheme.equalsIgnoreCase("https")) {
            throw new HttpProtocolException(400, "target is neither a path nor an http address");
        }
        // The authority of an absolute target counts, whatever Host says (RFC 9112, section 3.2.2).
        int from = slashes + 3;
        int end = from;
        while (end < target.length() && target.charAt(end) != '/' && target.charAt(end) != '?') {
            end++;
        }
        String authority = target.substring(from, end);
        if (!HttpCharacters.isAuthority(authority)) {
            throw new HttpProtocolException(400, "authority of the target is not a host");
        }
        String pathAndQuery = target.substring(end);
        return new RequestHead(
                method,
                pathAndQuery.startsWith("/") ? pathAndQuery : "/" + pathAndQuery,
                authority,
                minorVersion,
                fields);
    }

    private static String parseHost(Fields fields, int minorVersion) throws HttpProtocolException {
        int hostCount = fields.count("Host");
        if (hostCount > 1 || hostCount == 0 && minorVersion >= 1) {
            throw new HttpProtocolException(400, hostCount == 0 ? "no Host" : "more than one Host");
        }
        String host = hostCount == 0 ? "" : fields.get("Host");
        if (!host.isEmpty() && !HttpCharacters.isAuthority(host)) {
            throw new HttpProtocolException(400, "Host is not a host");
        }
        return host;
    }

    static int parseMinorVersion(String version) throws HttpProtocolException {
        if (version.length() != 8
                || !version.startsWith("HTTP/")
                || version.charAt(6) != '.'
                || !Character.isDigit(version.charAt(5))
                || !Character.isDigit(version.charAt(7))) {
            throw new HttpProtocolException(400, "not a version of HTTP");
        }
        if (version.charAt(5) != '1') {
            throw new HttpProtocolException(505, "only HTTP/1 is spoken here");
        }
        return version.charAt(7) == '0' ? 0 : 1;
    }
}
