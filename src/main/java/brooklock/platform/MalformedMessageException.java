package brooklock.platform;

/**
 * Bytes that can't be read as the protocol has them; the message says what is wrong. Their
 * connection is of no further use.
 */
public final class MalformedMessageException extends Exception {
    private static final long serialVersionUID = 1L;

    MalformedMessageException(String message) {
        super(message, null, false, false);
    }
}
