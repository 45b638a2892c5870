package brooklock.platform;

/**
 * A call that is read but is no valid request; the message says why. It is answered with an error
 * and costs its connection nothing, unless the client sends too many.
 */
final class InvalidRequestException extends Exception {
    private static final long serialVersionUID = 1L;

    InvalidRequestException(String message) {
        // Without a stack trace: clients cause these, and filling it in takes time.
        super(message, null, false, false);
    }
}
