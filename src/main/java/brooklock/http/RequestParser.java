package brooklock.http;

import java.nio.ByteBuffer;

/**
 * Parses the heads of the requests of one connection, one after another (RFC 9112, sections 2 and
 * 3). The caller decodes the body between two heads.
 *
 * <p>Not thread-safe.
 */
public final class RequestParser {
    /**
     * Maximum number of empty lines before a request line. Old clients send one after a body; the
     * bound keeps a client from occupying the connection with empty lines.
     */
    private static final int MAX_EMPTY_LINES = 2;

    private final HttpLimits limits;
    private final LineReader lineReader = new LineReader();
    private final FieldSectionParser fieldParser;
    private String startLine;
    private int emptyLines;

    /** Creates a parser that rejects heads that exceed {@code limits}. */
    public RequestParser(HttpLimits limits) {
        this.limits = limits;
        fieldParser =
                new FieldSectionParser(
                        limits, lineReader, HttpStatus.BAD_REQUEST, HttpStatus.FIELDS_TOO_LARGE);
    }

    /**
     * Parses the next head.
     *
     * @param input the received bytes, which are consumed up to the end of the head; the body
     *     remains in the buffer
     * @return the head, or null if the buffer is used up first
     * @throws HttpProtocolException if the head is malformed, not supported or exceeds a limit; the
     *     parser must not be used after that
     */
    public RequestHead next(ByteBuffer input) throws HttpProtocolException {
        while (startLine == null) {
            String line =
                    lineReader.next(
                            input,
                            limits.maxStartLineBytes(),
                            HttpStatus.URI_TOO_LONG,
                            HttpStatus.BAD_REQUEST);
            if (line == null) {
                return null;
            }
            if (line.isEmpty() && ++emptyLines > MAX_EMPTY_LINES) {
                throw badRequest("empty lines in place of a request");
            }
            startLine = line.isEmpty() ? null : line;
        }
        Fields fields = fieldParser.next(input);
        if (fields == null) {
            return null;
        }
        String line = startLine;
        startLine = null;
        emptyLines = 0;
        return parseHead(line, fields);
    }

    /** Returns whether the parser has received the beginning of a head but not its end. */
    public boolean isMidMessage() {
        return startLine != null || !lineReader.isEmpty();
    }

    private static RequestHead parseHead(String line, Fields fields) throws HttpProtocolException {
        int methodEnd = line.indexOf(' ');
        int targetEnd = line.indexOf(' ', methodEnd + 1);
        if (methodEnd <= 0 || targetEnd < 0 || line.indexOf(' ', targetEnd + 1) >= 0) {
            throw badRequest("request line is not a method, a target and a version");
        }
        String method = line.substring(0, methodEnd);
        String target = line.substring(methodEnd + 1, targetEnd);
        int minorVersion = parseMinorVersion(line.substring(targetEnd + 1));
        if (!HttpCharacters.isToken(method)) {
            throw badRequest("method is not a token");
        }
        if (!HttpCharacters.isTarget(target)) {
            throw badRequest("character in the target that no URI holds");
        }
        String hostField = parseHost(fields, minorVersion);
        if (method.equals("CONNECT")) {
            throw new HttpProtocolException(HttpStatus.NOT_IMPLEMENTED, "no tunnels here");
        }
        if (target.startsWith("/") || (target.equals("*") && method.equals("OPTIONS"))) {
            return new RequestHead(method, target, hostField, minorVersion, fields);
        }
        return parseAbsoluteForm(method, target, minorVersion, fields);
    }

    // The authority of a target in absolute form overrides Host (RFC 9112, section 3.2.2).
    private static RequestHead parseAbsoluteForm(
            String method, String target, int minorVersion, Fields fields)
            throws HttpProtocolException {
        int schemeEnd = target.indexOf("://");
        String scheme = schemeEnd < 0 ? "" : target.substring(0, schemeEnd);
        if (!scheme.equalsIgnoreCase("http") && !scheme.equalsIgnoreCase("https")) {
            throw badRequest("target is neither a path nor an http address");
        }
        int authorityStart = schemeEnd + 3;
        int authorityEnd = authorityStart;
        while (authorityEnd < target.length()
                && target.charAt(authorityEnd) != '/'
                && target.charAt(authorityEnd) != '?') {
            authorityEnd++;
        }
        String authority = target.substring(authorityStart, authorityEnd);
        if (!HttpCharacters.isAuthority(authority)) {
            throw badRequest("authority of the target is not a host");
        }
        String rest = target.substring(authorityEnd);
        String pathAndQuery = rest.startsWith("/") ? rest : "/" + rest;
        return new RequestHead(method, pathAndQuery, authority, minorVersion, fields);
    }

    private static String parseHost(Fields fields, int minorVersion) throws HttpProtocolException {
        int hostCount = fields.count("Host");
        if (hostCount > 1 || (hostCount == 0 && minorVersion >= 1)) {
            throw badRequest(hostCount == 0 ? "no Host" : "more than one Host");
        }
        String host = hostCount == 0 ? "" : fields.get("Host");
        if (!host.isEmpty() && !HttpCharacters.isAuthority(host)) {
            throw badRequest("Host is not a host");
        }
        return host;
    }

    /**
     * Parses an HTTP version and returns its minor number. A minor number above 1 is treated as 1
     * (RFC 9110, section 2.5).
     *
     * @throws HttpProtocolException with 400 if the text is not an HTTP version, with 505 if the
     *     major version is not 1
     */
    static int parseMinorVersion(String version) throws HttpProtocolException {
        if (version.length() != 8
                || !version.startsWith("HTTP/")
                || version.charAt(6) != '.'
                || !Character.isDigit(version.charAt(5))
                || !Character.isDigit(version.charAt(7))) {
            throw badRequest("not a version of HTTP");
        }
        if (version.charAt(5) != '1') {
            throw new HttpProtocolException(
                    HttpStatus.VERSION_NOT_SUPPORTED, "only HTTP/1 is spoken here");
        }
        return version.charAt(7) == '0' ? 0 : 1;
    }

    private static HttpProtocolException badRequest(String reason) {
        return new HttpProtocolException(HttpStatus.BAD_REQUEST, reason);
    }
}
