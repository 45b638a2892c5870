package brooklock.platform;

/** A text that is no address; the message says why. */
final class InvalidAddressException extends Exception {
    private static final long serialVersionUID = 1L;

    InvalidAddressException(String message) {
        super(message);
    }
}
