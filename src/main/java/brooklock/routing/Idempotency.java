package brooklock.routing;

/** Whether a request may be executed more than once. */
public enum Idempotency {
    /** Repeating the request is harmless. */
    IDEMPOTENT,
    /**
     * The request carries an idempotency key: endpoints that share its {@link IdempotencyScope}
     * drop repeats within the class's key window.
     */
    IDEMPOTENCY_KEY,
    /** The request may be executed once at most. */
    NOT_IDEMPOTENT
}
