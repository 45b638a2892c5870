package brooklock.platform;

/**
 * Thrown when input is not a valid message of its protocol. The message states the reason. The
 * connection must be closed, because the start of the next message in its input is unknown.
 */
public final class MalformedMessageException extends Exception {
    private static final long serialVersionUID = 1L;

    MalformedMessageException(String message) {
        // No stack trace: peers can trigger this exception at a high rate, and a trace is
        // expensive.
        super(message, null, false, false);
    }
}
