package brooklock.routing;

/**
 * How an endpoint list is applied.
 *
 * <p>The simulator's wire format uses the ordinals: constants may only be appended.
 */
public enum EndpointListKind {
    /** The list has only the endpoints that changed. */
    DELTA,
    /** The list is complete: endpoints that it does not contain are gone. */
    FULL,
    /** The list has all endpoints as they were last known, which may be outdated. */
    CACHED,
    /** The subscription to the list failed; the event has no endpoints. */
    FAILED
}
