package brooklock.proxy;

import brooklock.config.Settings;
import brooklock.membership.EndpointRegistry;

/**
 * The objects that all requests of one dispatcher share. The record is immutable; the type of each
 * component states which threads may use it.
 *
 * @param settings the dispatcher's settings
 * @param clock the clock for all times in this package
 * @param endpointRegistry the endpoint list; any thread may read it, the routing thread changes it
 * @param routingThread receives events and tasks
 * @param upstreamClients the HTTP clients for connections to endpoints
 */
record ProxyContext(
        Settings settings,
        MonotonicClock clock,
        EndpointRegistry endpointRegistry,
        RoutingThread routingThread,
        UpstreamClients upstreamClients) {}
