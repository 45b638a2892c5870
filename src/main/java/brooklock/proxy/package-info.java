/**
 * The HTTP dispatcher, which processes a request from its head to its final response.
 *
 * <p>Package {@code brooklock.routing} decides to which endpoint a request is sent. This package
 * translates what happens on sockets into the router's events and executes the router's actions.
 *
 * <h2>Lifecycle of a request</h2>
 *
 * <ol>
 *   <li>{@link brooklock.proxy.RequestAdmission} checks the head, finds its route ({@link
 *       brooklock.proxy.RouteTable}), has it authorized ({@link brooklock.proxy.RequestAuthorizer})
 *       and checks the limits ({@link brooklock.proxy.RequestCapacity}). A request that is not
 *       admitted gets an {@link brooklock.proxy.ErrorResponse} and is counted, but has no further
 *       effect.
 *   <li>An admitted request is represented by a {@link brooklock.proxy.ProxyExchange} and an event
 *       in the queue of the {@link brooklock.proxy.RoutingThread}. That thread first checks the
 *       limits of the request's tenant ({@link brooklock.proxy.TenantAdmission}) and then calls the
 *       router.
 *   <li>The router's actions reach the exchange through {@link brooklock.proxy.ActionExecutor}.
 *       Each attempt is an {@link brooklock.proxy.UpstreamAttempt}.
 *   <li>The first of a served attempt, a rejection, a failure and the client's disconnect closes
 *       the exchange, so that there is exactly one final response. Bodies are copied from
 *       connection to connection and never pass through the routing thread.
 *   <li>When the final response has ended and no attempt is open, the exchange has ended: it is
 *       counted, logged ({@link brooklock.proxy.AccessLog}) and removed.
 * </ol>
 *
 * <h2>Threads</h2>
 *
 * <ul>
 *   <li>The routing thread ({@code NAME-routing}), one for each dispatcher, owns the router, its
 *       timers, the endpoint list ({@link brooklock.proxy.EndpointListUpdater}), tenants' limits
 *       and cache warming ({@link brooklock.proxy.WarmingCoordinator}).
 *   <li>The I/O threads own connections. An exchange and all its attempts are used on the I/O
 *       thread of the client's connection.
 *   <li>The writing thread ({@code file-writer}, {@link brooklock.proxy.BackgroundFileWriter})
 *       saves the endpoint list and the warming snapshot.
 *   <li>The polling thread ({@code NAME-file-poll}, {@link brooklock.proxy.AccessFiles}) polls
 *       policy, keys and certificates; the loaded objects are immutable.
 *   <li>The token verification threads ({@code tokens-checks}) verify signatures. On an I/O thread,
 *       a verification would delay all its connections.
 * </ul>
 *
 * <p>Processing a request takes no lock. Events and tasks reach the routing thread through one
 * bounded queue, and actions reach an I/O thread through the queue of that thread.
 */
package brooklock.proxy;
