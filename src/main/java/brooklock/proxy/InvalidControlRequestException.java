package brooklock.proxy;

/** Thrown when a control request is invalid. Its message is sent to the client. */
final class InvalidControlRequestException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    InvalidControlRequestException(String message) {
        super(message);
    }

    InvalidControlRequestException(String message, Throwable cause) {
        super(message, cause);
    }
}
