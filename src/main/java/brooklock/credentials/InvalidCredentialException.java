package brooklock.credentials;

/**
 * A credential is invalid. The message is the reason for the audit log; nothing of the credential
 * is in it. It has no stack trace, because invalid credentials are no defect and may come in
 * floods.
 */
public final class InvalidCredentialException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates an exception with a reason in words. */
    public InvalidCredentialException(String reason) {
        this(reason, null);
    }

    InvalidCredentialException(TokenError error) {
        this(error.words(), null);
    }

    InvalidCredentialException(TokenError error, Throwable cause) {
        this(error.words(), cause);
    }

    private InvalidCredentialException(String reason, Throwable cause) {
        super(reason, cause, false, false);
    }
}
