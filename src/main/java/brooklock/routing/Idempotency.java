package brooklock.routing;

/** Whether a request may be executed more than once. */
public enum Idempotency {
    /** Executing the request again is harmless. */
    IDEMPOTENT,
    /**
     * The request carries an idempotency key: endpoints that share its {@link IdempotencyScope}
     * drop repeats within the class's idempotency window.
     */
    IDEMPOTENCY_KEY,
    /** The request may be executed at most once. */
    NOT_IDEMPOTENT
}
