package brooklock.simulator;

/** Input that is not of the wire's form; the message says what is wrong and where. */
public final class MalformedFrameException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    MalformedFrameException(String message) {
        super(message);
    }

    MalformedFrameException(String message, Throwable cause) {
        super(message, cause);
    }
}
