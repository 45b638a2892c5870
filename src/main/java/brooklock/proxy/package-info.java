/**
 * The HTTP dispatcher: takes a request from its head to its final response.
 *
 * <p>Nothing is decided here about where a request goes; that is {@code brooklock.routing}. This
 * package turns what happens on sockets into the router's events and carries out its actions.
 *
 * <h2>A request</h2>
 *
 * <ol>
 *   <li>{@link brooklock.proxy.RequestAdmission} checks the head, finds its route ({@link
 *       brooklock.proxy.RouteTable}), has it authorized ({@link brooklock.proxy.RequestAuthorizer})
 *       and holds it to the limits ({@link brooklock.proxy.RequestCapacity}). What is not admitted
 *       is answered by {@link brooklock.proxy.ErrorResponse} and only counted.
 *   <li>An admitted request is a {@link brooklock.proxy.ProxyExchange} and an event in the queue of
 *       the {@link brooklock.proxy.RoutingThread}. There its tenant's limits come first ({@link
 *       brooklock.proxy.TenantAdmission}), then the router.
 *   <li>The router's actions reach the exchange through {@link brooklock.proxy.ActionExecutor}.
 *       Each attempt is an {@link brooklock.proxy.UpstreamAttempt}.
 *   <li>The first of a served attempt, a rejection, a failure and the client's leaving closes the
 *       exchange: there is exactly one final response. Bodies go from connection to connection and
 *       never through the routing thread.
 *   <li>When no attempt is open any more the exchange has ended: it is counted, logged ({@link
 *       brooklock.proxy.AccessLog}) and forgotten.
 * </ol>
 *
 * <h2>Threads</h2>
 *
 * <ul>
 *   <li>The routing thread ({@code NAME-routing}), one for each dispatcher, owns the router, its
 *       timers, the endpoint list ({@link brooklock.proxy.EndpointListUpdater}), tenants' limits
 *       and the warming of caches ({@link brooklock.proxy.WarmingCoordinator}).
 *   <li>The I/O threads own connections. An exchange and all its attempts belong to the I/O thread
 *       of the client's connection.
 *   <li>The writing thread ({@code file-writer}, {@link brooklock.proxy.BackgroundFileWriter})
 *       saves the endpoint list and the warming snapshot.
 *   <li>The polling thread ({@code NAME-file-poll}, {@link brooklock.proxy.AccessFiles}) polls
 *       policy, keys and certificates; what it loads is immutable.
 *   <li>The threads that verify tokens ({@code tokens-checks}) run beside the I/O threads, which
 *       would stop for the length of a verification.
 * </ul>
 *
 * <p>There is no lock on the way of a request. Events and tasks reach the routing thread through
 * one bounded queue; actions reach an I/O thread through its own.
 */
package brooklock.proxy;
