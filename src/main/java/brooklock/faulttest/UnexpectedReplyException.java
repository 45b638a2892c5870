package brooklock.faulttest;

/** Thrown when a dispatcher replies to a control request with an unexpected status or body. */
final class UnexpectedReplyException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    UnexpectedReplyException(String message) {
        super(message);
    }
}
