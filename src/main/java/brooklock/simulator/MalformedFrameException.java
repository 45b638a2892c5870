package brooklock.simulator;

/**
 * Thrown if input of the simulator does not have the wire format. The message states what is wrong
 * and, if known, where.
 */
public final class MalformedFrameException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    MalformedFrameException(String message) {
        super(message);
    }

    MalformedFrameException(String message, Throwable cause) {
        super(message, cause);
    }
}
