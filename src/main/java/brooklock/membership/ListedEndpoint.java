package brooklock.membership;

import brooklock.config.Settings.EndpointKind;
import brooklock.routing.EndpointState;
import java.net.InetSocketAddress;

/**
 * One host as a list names it.
 *
 * @param id its number, made of its name
 * @param startedMs wall time of its last start, ms since 1970; 0 for long ago
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
    /** The same host in another state. */
    public ListedEndpoint withState(EndpointState other) {
        return new ListedEndpoint(name, id, kind, zone, address, other, weight, startedMs);
    }
}
