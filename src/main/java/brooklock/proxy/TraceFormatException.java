package brooklock.proxy;

/** A text is not a record as traces have them. */
final class TraceFormatException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    TraceFormatException(String message) {
        super(message);
    }
}
