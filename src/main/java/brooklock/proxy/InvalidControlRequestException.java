package brooklock.proxy;

/** A control request cannot be carried out as it stands; its message is for the sender. */
final class InvalidControlRequestException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    InvalidControlRequestException(String message) {
        super(message);
    }

    InvalidControlRequestException(String message, Throwable cause) {
        super(message, cause);
    }
}
