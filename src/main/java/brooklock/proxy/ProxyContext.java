package brooklock.proxy;

import brooklock.config.Settings;
import brooklock.membership.EndpointRegistry;

/**
 * What the open requests of one dispatcher share. Each part says which threads may use it.
 *
 * @param settings immutable
 * @param clock the one clock of all times in this package
 * @param endpointRegistry read by any thread, written by the routing thread
 * @param routingThread where events and tasks are submitted
 * @param upstreamClients the clients towards endpoints
 */
record ProxyContext(
        Settings settings,
        MonotonicClock clock,
        EndpointRegistry endpointRegistry,
        RoutingThread routingThread,
        UpstreamClients upstreamClients) {}
