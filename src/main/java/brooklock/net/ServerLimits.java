package brooklock.net;

import brooklock.http.HttpLimits;

/**
 * Limits of an {@link HttpListener}. Immutable, so that threads may share one. Times are in
 * nanoseconds.
 *
 * @param http limits of a request; a request that exceeds one is answered with an error status and
 *     its connection is closed
 * @param maxConnections maximum number of open connections of the listener; a further connection is
 *     answered with 503 and closed
 * @param backlog maximum number of connections that the system queues before they are accepted; the
 *     system refuses further connections
 * @param headTimeoutNs maximum time to receive a request head, from its first byte; a connection
 *     that exceeds it is answered with 408 and closed
 * @param bodyTimeoutNs maximum time to receive a request body; a request that exceeds it is
 *     answered with 408 and its connection is closed
 * @param idleTimeoutNs maximum time between requests, after which the connection is closed
 * @param stallTimeoutNs maximum time in which a client accepts no byte of a response, after which
 *     the connection is reset
 * @param maxRequestsPerConnection maximum number of requests on one connection, which is closed
 *     after the response to the last of them
 * @param halfCloseEndsExchange whether a client that shuts down its sending side while it waits for
 *     a response is treated as disconnected; if false it still receives the response
 */
public record ServerLimits(
        HttpLimits http,
        int maxConnections,
        int backlog,
        long headTimeoutNs,
        long bodyTimeoutNs,
        long idleTimeoutNs,
        long stallTimeoutNs,
        int maxRequestsPerConnection,
        boolean halfCloseEndsExchange) {
    private static final long SECOND_NS = 1_000_000_000L;

    /** Default limits. */
    public static final ServerLimits STANDARD =
            new ServerLimits(
                    HttpLimits.STANDARD.withMaxBodyBytes(1 << 20),
                    16384,
                    1024,
                    10 * SECOND_NS,
                    30 * SECOND_NS,
                    60 * SECOND_NS,
                    30 * SECOND_NS,
                    100_000,
                    true);

    /** Returns a copy of these limits with the given maximum number of open connections. */
    public ServerLimits withMaxConnections(int max) {
        return new ServerLimits(
                http,
                max,
                backlog,
                headTimeoutNs,
                bodyTimeoutNs,
                idleTimeoutNs,
                stallTimeoutNs,
                maxRequestsPerConnection,
                halfCloseEndsExchange);
    }

    /**
     * Returns a copy with the given timeouts for heads, bodies, idle connections and stalled
     * responses, in nanoseconds.
     */
    public ServerLimits withTimeouts(long headNs, long bodyNs, long idleNs, long stallNs) {
        return new ServerLimits(
                http,
                maxConnections,
                backlog,
                headNs,
                bodyNs,
                idleNs,
                stallNs,
                maxRequestsPerConnection,
                halfCloseEndsExchange);
    }
}
