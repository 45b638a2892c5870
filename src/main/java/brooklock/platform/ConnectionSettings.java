package brooklock.platform;

import brooklock.net.IoLoop;

/**
 * What holds for the connections to every endpoint.
 *
 * @param loop the I/O thread that owns them
 * @param factory makes them
 * @param connectTimeoutNs time for one to come up, ns
 * @param idleTimeoutNs time after which an idle one is closed, ns
 * @param maxInFlight attempts that may be in flight on one
 * @param maxConnections connections to all endpoints together
 */
record ConnectionSettings(
        IoLoop loop,
        EndpointConnectFunction factory,
        long connectTimeoutNs,
        long idleTimeoutNs,
        int maxInFlight,
        int maxConnections) {
    // An idle connection is closed this much before the endpoint would close it: a request written
    // into that close would be lost, and its attempt would end as a reset that may have run.
    private static final long IDLE_MARGIN_NS = 5_000_000_000L;

    /** Returns what a configuration says. */
    static ConnectionSettings of(
            IoLoop loop,
            EndpointConnectFunction factory,
            PlatformConfig config,
            int maxConnections) {
        return new ConnectionSettings(
                loop,
                factory,
                config.routerSettings().limits().connectTimeoutNs(),
                Math.max(config.idleTimeoutNs() / 2, config.idleTimeoutNs() - IDLE_MARGIN_NS),
                Math.max(1, config.maxInFlightPerConnection()),
                maxConnections);
    }
}
