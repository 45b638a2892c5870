package brooklock.proxy;

import brooklock.net.HttpExchange;
import java.util.Optional;

/**
 * A client's request whose route is known and whose caller, where the route needs one, is
 * authorized.
 *
 * @param client the exchange with the client, to be used on its I/O thread only
 * @param match class, object, part and purge group
 * @param caller who sends it; empty where the route needs no authorization
 * @param acceptedAtNs when its head had arrived, on the dispatcher's clock
 * @param deadlineNs when nobody waits for the response any more, on the same clock
 */
record RoutedRequest(
        HttpExchange client,
        RouteTable.Match match,
        Optional<AuthorizationResult.Authorized> caller,
        long acceptedAtNs,
        long deadlineNs) {

    /** Returns the tenant's name, or an empty string where the route needs no authorization. */
    String tenantName() {
        return caller.map(authorized -> authorized.tenant().name()).orElse("");
    }
}
