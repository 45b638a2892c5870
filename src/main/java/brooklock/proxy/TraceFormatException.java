package brooklock.proxy;

/** Thrown when a text is not a valid encoding of a trace record. */
final class TraceFormatException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    TraceFormatException(String message) {
        super(message);
    }
}
