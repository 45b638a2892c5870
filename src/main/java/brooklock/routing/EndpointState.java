package brooklock.routing;

/**
 * The state of an endpoint in the endpoint list.
 *
 * <p>The simulator's wire format uses the ordinals: constants may only be appended.
 */
public enum EndpointState {
    /** The endpoint has been removed from the list and gets no attempts. */
    GONE,
    /** The endpoint may get attempts. */
    READY,
    /** The endpoint finishes its attempts in flight and gets no new ones. */
    DRAINING
}
