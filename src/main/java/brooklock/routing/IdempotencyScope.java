package brooklock.routing;

/** The endpoints that recognise each other's idempotency keys. */
public enum IdempotencyScope {
    /** Every endpoint of the deployment. */
    ALL,
    /** The endpoints of one zone. */
    ZONE,
    /** The endpoints of one cell. */
    CELL
}
