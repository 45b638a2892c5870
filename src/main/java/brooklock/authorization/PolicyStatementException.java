package brooklock.authorization;

/** A statement of a policy file is invalid. The message is meant for the operator who wrote it. */
final class PolicyStatementException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    PolicyStatementException(String reason) {
        super(reason);
    }

    PolicyStatementException(String reason, Throwable cause) {
        super(reason, cause);
    }
}
