package brooklock.credentials;

/**
 * Thrown when a key set or a change to a key set is invalid. The message is meant for operators.
 */
public final class InvalidKeySetException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    InvalidKeySetException(String reason) {
        super(reason);
    }

    InvalidKeySetException(String reason, Throwable cause) {
        super(reason, cause);
    }
}
