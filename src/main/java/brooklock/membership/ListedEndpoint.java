package brooklock.membership;

import brooklock.config.Settings.EndpointKind;
import brooklock.routing.EndpointState;
import java.net.InetSocketAddress;

/**
 * One endpoint as an endpoint list describes it.
 *
 * @param name its name, unique in the deployment
 * @param id its identifier, derived from the name
 * @param kind cache, parent or origin
 * @param zone name of its zone
 * @param address where it accepts connections
 * @param state whether it may get requests
 * @param weight its capacity relative to its peers, above 0
 * @param startedMs wall time of its last start, in ms since 1970; 0 means long ago
 */
public record ListedEndpoint(
        String name,
        long id,
        EndpointKind kind,
        String zone,
        InetSocketAddress address,
        EndpointState state,
        double weight,
        long startedMs) {
    /** Returns the same endpoint in another state. */
    public ListedEndpoint withState(EndpointState newState) {
        return new ListedEndpoint(name, id, kind, zone, address, newState, weight, startedMs);
    }
}
