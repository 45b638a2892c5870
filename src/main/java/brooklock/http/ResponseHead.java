package brooklock.http;

/**
 * The head of a response.
 *
 * @param status the status code, three digits
 * @param reasonPhrase the reason phrase, which may be empty and has no meaning to a recipient (RFC
 *     9112, section 4)
 * @param minorVersion the minor version of HTTP/1: 0 or 1
 * @param fields the field lines
 */
public record ResponseHead(int status, String reasonPhrase, int minorVersion, Fields fields) {
    /** Creates the head of an outgoing HTTP/1.1 response with the standard reason phrase. */
    public ResponseHead(int status, Fields fields) {
        this(status, ReasonPhrases.of(status), 1, fields);
    }

    /** Returns whether the connection may be reused after this response (RFC 9112, section 9.3). */
    public boolean isPersistent() {
        return minorVersion >= 1
                ? !fields.hasToken("Connection", "close")
                : fields.hasToken("Connection", "keep-alive");
    }
}
