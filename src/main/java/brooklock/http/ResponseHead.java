package brooklock.http;

/**
 * The head of a response.
 *
 * @param status three digits
 * @param reasonPhrase may be empty; it carries no information (RFC 9112, section 4)
 * @param minorVersion 0 for HTTP/1.0, else 1
 * @param fields its field lines
 */
public record ResponseHead(int status, String reasonPhrase, int minorVersion, Fields fields) {
    /** Creates the head of a response of our own, in HTTP/1.1 with the usual reason phrase. */
    public ResponseHead(int status, Fields fields) {
        this(status, ReasonPhrases.of(status), 1, fields);
    }

    /** Whether the connection may be reused after this response (RFC 9112, section 9.3). */
    public boolean isPersistent() {
        return minorVersion >= 1
                ? !fields.hasToken("Connection", "close")
                : fields.hasToken("Connection", "keep-alive");
    }
}
