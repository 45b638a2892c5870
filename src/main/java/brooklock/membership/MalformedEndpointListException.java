package brooklock.membership;

/** The text of an endpoint list is invalid. The message is meant for whoever sent the list. */
public final class MalformedEndpointListException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    MalformedEndpointListException(String reason) {
        super(reason);
    }

    /**
     * Creates an exception for one line.
     *
     * @param line number of the line, from 1
     */
    MalformedEndpointListException(int line, String reason) {
        super("line " + line + ": " + reason);
    }

    MalformedEndpointListException(int line, IllegalArgumentException cause) {
        super("line " + line + ": " + cause.getMessage(), cause);
    }
}
