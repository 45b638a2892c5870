package brooklock.routing;

/**
 * How an endpoint list is applied.
 *
 * <p>The simulator's wire format uses the ordinals: constants may only be appended.
 */
public enum EndpointListKind {
    /** The list contains only the endpoints that changed. */
    DELTA,
    /** The list is complete: endpoints that it does not contain are gone. */
    FULL,
    /** The list contains all endpoints in their last known state, which may be outdated. */
    CACHED,
    /** The subscription to the list failed; the event has no endpoints. */
    FAILED
}
