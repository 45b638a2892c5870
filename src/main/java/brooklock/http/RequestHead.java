package brooklock.http;

/**
 * The head of a request.
 *
 * @param method the method, case kept
 * @param target origin form ("/path?query") or "*"; an absolute form is taken apart when it is read
 * @param host the authority asked, "" where an HTTP/1.0 client named none
 * @param minor 0 for HTTP/1.0, else 1
 * @param fields its field lines
 */
public record RequestHead(
        String method, String target, String authority, int minorVersion, Fields fields) {
    /** Whether the connection may be used again after this request (RFC 9112, section 9.3). */
    public boolean isPersistent() {
        return minorVersion >= 1
                ? !fields.hasToken("Connection", "close")
                : fields.hasToken("Connection", "keep-alive");
    }

    /** Whether the client waits for 100 before it sends the body. */
    public boolean expectsContinue() {
        return minorVersion >= 1 && "100-continue".equalsIgnoreCase(fields.get("Expect"));
    }
}
