package brooklock.membership;

/**
 * Thrown when the text of an endpoint list is invalid. The message is returned to the sender of the
 * list.
 */
public final class MalformedEndpointListException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    MalformedEndpointListException(String reason) {
        super(reason);
    }

    /**
     * Creates a new exception for one line of the list.
     *
     * @param line number of the line, counted from 1
     * @param reason what was expected and what was received
     */
    MalformedEndpointListException(int line, String reason) {
        super("line " + line + ": " + reason);
    }

    MalformedEndpointListException(int line, IllegalArgumentException cause) {
        super("line " + line + ": " + cause.getMessage(), cause);
    }
}
