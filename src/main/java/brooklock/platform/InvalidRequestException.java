package brooklock.platform;

/**
 * Thrown when a well-formed call is not a valid request. The message states the reason. The call is
 * answered with an error; its connection stays open unless the client sends too many invalid calls.
 */
final class InvalidRequestException extends Exception {
    private static final long serialVersionUID = 1L;

    InvalidRequestException(String message) {
        // No stack trace: clients can trigger this exception at a high rate, and a trace is
        // expensive.
        super(message, null, false, false);
    }
}
