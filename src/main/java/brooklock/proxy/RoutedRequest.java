package brooklock.proxy;

import brooklock.net.HttpExchange;
import java.util.Optional;

/**
 * A client's request that matches a route and is authorized if the route requires it.
 *
 * @param client the exchange with the client, which must be used on its I/O thread only
 * @param match the request's class, object, part and purge group
 * @param caller the authorized caller; empty if the route requires no authorization
 * @param acceptedAtNs the time at which the head had arrived, on the dispatcher's clock, in ns
 * @param deadlineNs the time after which the client no longer waits for the response, on the same
 *     clock, in ns
 */
record RoutedRequest(
        HttpExchange client,
        RouteTable.Match match,
        Optional<AuthorizationResult.Authorized> caller,
        long acceptedAtNs,
        long deadlineNs) {

    /** Returns the tenant's name, or an empty string if the route requires no authorization. */
    String tenantName() {
        return caller.map(authorized -> authorized.tenant().name()).orElse("");
    }
}
