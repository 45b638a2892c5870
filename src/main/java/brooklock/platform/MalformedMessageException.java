package brooklock.platform;

/**
 * Bytes that are no message of the protocol; the message says why. Where the next message begins is
 * unknown from then on, so the connection has to be closed.
 */
public final class MalformedMessageException extends Exception {
    private static final long serialVersionUID = 1L;

    MalformedMessageException(String message) {
        // Without a stack trace: peers cause these, and filling it in takes time.
        super(message, null, false, false);
    }
}
