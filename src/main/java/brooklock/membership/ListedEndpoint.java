package brooklock.membership;

import brooklock.config.Settings.EndpointKind;
import brooklock.routing.EndpointState;
import java.net.InetSocketAddress;

/**
 * The description of one endpoint in an endpoint list. Immutable.
 *
 * @param name the endpoint's name, unique in the deployment
 * @param id the identifier derived from the name
 * @param kind whether the endpoint is a cache, a parent or an origin
 * @param zone name of the zone
 * @param address address and port on which the endpoint accepts connections
 * @param state whether the endpoint may receive requests
 * @param weight capacity relative to its peers, above 0
 * @param startedMs wall time of the last start, in ms since 1970; 0 means long ago
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
    /** Returns a copy of this endpoint with the given state. */
    public ListedEndpoint withState(EndpointState newState) {
        return new ListedEndpoint(name, id, kind, zone, address, newState, weight, startedMs);
    }
}
