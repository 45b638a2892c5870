package brooklock.http;

/**
 * Thrown when an outgoing message has a part that cannot be encoded, since the recipient would
 * parse it as a different message.
 */
public final class InvalidMessageException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    InvalidMessageException(String reason) {
        super(reason);
    }
}
