package brooklock.credentials;

/**
 * A credential that is not good, with the reason in plain words; nothing of the credential itself.
 */
public final class BadCredential extends Exception {
    private static final long serialVersionUID = 1L;

    /** Whether finding this out cost a signature's check. */
    public final boolean dear;

    /** With its reason. */
    public BadCredential(String reason) {
        this(reason, false);
    }

    BadCredential(String reason, boolean dear) {
        super(reason, null, false, false);
        this.dear = dear;
    }
}
