package brooklock.routing;

/** The endpoints that share idempotency keys. */
public enum IdempotencyScope {
    /** Every endpoint of the deployment. */
    ALL,
    /** The endpoints of one zone. */
    ZONE,
    /** The endpoints of one cell. */
    CELL
}
