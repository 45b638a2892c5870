package brooklock.http;

/**
 * The head of a request.
 *
 * @param method the method in its original case
 * @param target the target in origin form ("/path?query"), or "*"; the parser splits a target in
 *     absolute form into authority and target
 * @param authority the requested host, followed by the port if one is stated; "" if the Host field
 *     is empty, or is absent from an HTTP/1.0 request
 * @param minorVersion the minor version of HTTP/1: 0 or 1
 * @param fields the field lines
 */
public record RequestHead(
        String method, String target, String authority, int minorVersion, Fields fields) {
    /** Returns whether the connection may be reused after this request (RFC 9112, section 9.3). */
    public boolean isPersistent() {
        return minorVersion >= 1
                ? !fields.hasToken("Connection", "close")
                : fields.hasToken("Connection", "keep-alive");
    }

    /** Returns whether the client waits for 100 (Continue) before it sends the body. */
    public boolean expectsContinue() {
        return minorVersion >= 1 && "100-continue".equalsIgnoreCase(fields.get("Expect"));
    }
}
