package brooklock.faulttest;

/** A dispatcher has replied to a control request with what it should not. */
final class UnexpectedReplyException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    UnexpectedReplyException(String message) {
        super(message);
    }
}
