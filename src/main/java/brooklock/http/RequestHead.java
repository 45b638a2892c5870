package brooklock.http;

/**
 * The head of a request.
 *
 * @param method the method, in its own case
 * @param target origin form ("/path?query") or "*"; a parsed absolute form is split into authority
 *     and target
 * @param authority the requested host with its port, "" where an HTTP/1.0 client named none
 * @param minorVersion 0 for HTTP/1.0, else 1
 * @param fields its field lines
 */
public record RequestHead(
        String method, String target, String authority, int minorVersion, Fields fields) {
    /** Whether the connection may be reused after this request (RFC 9112, section 9.3). */
    public boolean isPersistent() {
        return minorVersion >= 1
                ? !fields.hasToken("Connection", "close")
                : fields.hasToken("Connection", "keep-alive");
    }

    /** Whether the client waits for 100 (Continue) before it sends the body. */
    public boolean expectsContinue() {
        return minorVersion >= 1 && "100-continue".equalsIgnoreCase(fields.get("Expect"));
    }
}
