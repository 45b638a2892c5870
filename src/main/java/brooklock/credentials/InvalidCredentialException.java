package brooklock.credentials;

/**
 * Thrown when a credential is invalid. The message is the reason for the audit log and never
 * includes any part of the credential. The exception has no stack trace, because invalid
 * credentials are expected and may arrive at a high rate.
 */
public final class InvalidCredentialException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates a new exception with the reason for the audit log. */
    public InvalidCredentialException(String reason) {
        this(reason, null);
    }

    InvalidCredentialException(TokenError error) {
        this(error.message(), null);
    }

    InvalidCredentialException(TokenError error, Throwable cause) {
        this(error.message(), cause);
    }

    private InvalidCredentialException(String reason, Throwable cause) {
        super(reason, cause, false, false);
    }
}
