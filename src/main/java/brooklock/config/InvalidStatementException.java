package brooklock.config;

/** Thrown when a statement is invalid. The reader reports the message with the statement's line. */
public final class InvalidStatementException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param message what was expected and what was received, in plain words for the file's author
     */
    public InvalidStatementException(String message) {
        super(message);
    }

    /** Creates an exception with the error that revealed the mistake as its cause. */
    public InvalidStatementException(String message, Throwable cause) {
        super(message, cause);
    }
}
