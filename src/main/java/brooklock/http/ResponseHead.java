package brooklock.http;

/**
 * The head of an answer.
 *
 * @param status three digits
 * @param reason the reason phrase, may be empty; it tells nothing (RFC 9112, section 4)
 * @param minor 0 for HTTP/1.0, else 1
 * @param fields its field lines
 */
public record ResponseHead(int status, String reasonPhrase, int minorVersion, Fields fields) {
    /** An answer of our own. */
    public ResponseHead(int status, Fields fields) {
        this(status, ReasonPhrases.of(status), 1, fields);
    }

    /** Whether the connection may be used again after this answer. */
    public boolean isPersistent() {
        return minorVersion >= 1
                ? !fields.hasToken("Connection", "close")
                : fields.hasToken("Connection", "keep-alive");
    }
}
