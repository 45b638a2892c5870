package brooklock.platform;

/** Thrown when a text is not a valid socket address. The message states the reason. */
final class InvalidAddressException extends Exception {
    private static final long serialVersionUID = 1L;

    InvalidAddressException(String message) {
        super(message);
    }
}
