package brooklock.http;

/**
 * Thrown when an outgoing message has an element that must not be encoded, because the recipient
 * would parse the encoded message differently.
 */
public final class InvalidMessageException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    InvalidMessageException(String reason) {
        super(reason);
    }
}
