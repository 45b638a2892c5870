package brooklock.platform;

import brooklock.net.IoLoop;

/**
 * The settings of the connections to endpoints. Immutable.
 *
 * @param loop the I/O thread that owns the connections
 * @param connectFunction opens connections
 * @param connectTimeoutNs the time after which a pending connection is overdue, ns
 * @param idleTimeoutNs the time after which an idle connection is closed, ns
 * @param maxInFlight maximum number of attempts in flight on one connection
 * @param maxConnections maximum number of connections to all endpoints together
 */
record ConnectionSettings(
        IoLoop loop,
        EndpointConnectFunction connectFunction,
        long connectTimeoutNs,
        long idleTimeoutNs,
        int maxInFlight,
        int maxConnections) {
    // An idle connection is closed this much earlier than the endpoint would close it. A request
    // sent while the endpoint closes the connection would be lost, and its attempt would end as a
    // reset, after which it is unknown whether the request was executed.
    private static final long IDLE_MARGIN_NS = 5_000_000_000L;

    /**
     * Creates the settings from a configuration.
     *
     * @param loop the I/O thread that owns the connections
     * @param connectFunction opens connections
     * @param config the configuration
     * @param maxConnections maximum number of connections to all endpoints together
     */
    static ConnectionSettings of(
            IoLoop loop,
            EndpointConnectFunction connectFunction,
            PlatformConfig config,
            int maxConnections) {
        return new ConnectionSettings(
                loop,
                connectFunction,
                config.routerSettings().limits().connectTimeoutNs(),
                Math.max(config.idleTimeoutNs() / 2, config.idleTimeoutNs() - IDLE_MARGIN_NS),
                Math.max(1, config.maxInFlightPerConnection()),
                maxConnections);
    }
}
