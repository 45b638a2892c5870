package brooklock.credentials;

/**
 * A credential that is not good, with the reason in plain words; nothing of the credential itself.
 */
public final class InvalidCredentialException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Whether finding this out cost a signature's check. */
    public final boolean signatureChecked;

    /** With its reason. */
    public InvalidCredentialException(String reason) {
        this(reason, false);
    }

    InvalidCredentialException(String reason, boolean dear) {
        super(reason, null, false, false);
        this.signatureChecked = dear;
    }
}
