package brooklock.routing;

/**
 * What the endpoint list says of an endpoint.
 *
 * <p>The order is that of the simulator's wire: append only.
 */
public enum EndpointState {
    /** Removed from the list: it gets no attempt. */
    GONE,
    /** It may get attempts. */
    READY,
    /** It finishes its attempts in flight and gets no new one. */
    DRAINING
}
