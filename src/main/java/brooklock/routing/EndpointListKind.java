package brooklock.routing;

/**
 * How an endpoint list is to be applied.
 *
 * <p>The order is that of the simulator's wire: append only.
 */
public enum EndpointListKind {
    /** Only the endpoints that changed. */
    DELTA,
    /** All endpoints; one that is missing is gone. */
    FULL,
    /** All endpoints as they were last known, possibly stale. */
    CACHED,
    /** The subscription failed; no endpoints come with it. */
    FAILED
}
