package brooklock.config;

/** A statement that cannot be understood. The reader reports its message with the line. */
public final class InvalidStatementException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param message what is wrong, in plain words for the author of the file
     */
    public InvalidStatementException(String message) {
        super(message);
    }

    /** As above, with the error that showed it. */
    public InvalidStatementException(String message, Throwable cause) {
        super(message, cause);
    }
}
