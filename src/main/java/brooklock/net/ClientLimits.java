package brooklock.net;

import brooklock.http.HttpLimits;

/**
 * The bounds of calls to hosts, each per host and I/O thread.
 *
 * @param http bounds of answers; a host that breaks them has answered badly
 * @param connections connections open at once; further calls wait in line
 * @param openings connections on their way at once; further calls wait for one of them or for one
 *     that becomes free
 * @param waiting calls in line; further ones fail at once as not connected
 * @param idle connections kept for use again
 * @param connectNs time for a connection, or for a place in line to come up
 * @param idleNs time after which an unused connection is closed; shorter than any host's own
 * @param stallNs time in which a host sends not one byte of a body that was begun; broken
 */
public record ClientLimits(
        HttpLimits http,
        int maxConnections,
        int maxConnecting,
        int maxWaitingCalls,
        int maxIdleConnections,
        long connectTimeoutNs,
        long idleTimeoutNs,
        long stallTimeoutNs) {
    private static final long SECOND_NS = 1_000_000_000L;

    /** Bounds for a client that has none of its own. */
    public static final ClientLimits STANDARD =
            new ClientLimits(
                    HttpLimits.STANDARD,
                    256,
                    32,
                    1024,
                    64,
                    SECOND_NS / 2,
                    15 * SECOND_NS,
                    30 * SECOND_NS);

    /** The same with another time for a connection, ns. */
    public ClientLimits withConnectTimeoutNs(long timeoutNs) {
        return new ClientLimits(
                http,
                maxConnections,
                maxConnecting,
                maxWaitingCalls,
                maxIdleConnections,
                timeoutNs,
                idleTimeoutNs,
                stallTimeoutNs);
    }

    /** The same with other bounds on connections, calls in line and idle connections. */
    public ClientLimits withConnections(int max, int maxWaiting, int maxIdle) {
        return new ClientLimits(
                http,
                max,
                maxConnecting,
                maxWaiting,
                maxIdle,
                connectTimeoutNs,
                idleTimeoutNs,
                stallTimeoutNs);
    }

    /** The same with another bound on connections on their way. */
    public ClientLimits withMaxConnecting(int max) {
        return new ClientLimits(
                http,
                maxConnections,
                max,
                maxWaitingCalls,
                maxIdleConnections,
                connectTimeoutNs,
                idleTimeoutNs,
                stallTimeoutNs);
    }
}
