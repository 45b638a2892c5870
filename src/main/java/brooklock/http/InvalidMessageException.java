package brooklock.http;

/** A message of our own that cannot be encoded, since a peer would read it as another message. */
public final class InvalidMessageException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    InvalidMessageException(String reason) {
        super(reason);
    }
}
