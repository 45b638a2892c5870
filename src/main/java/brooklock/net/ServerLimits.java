package brooklock.net;

import brooklock.http.HttpLimits;

/**
 * The limits of an {@link HttpListener}, each with what happens when it is exceeded. Times in
 * nanoseconds.
 *
 * @param http limits of a request; the sender gets a status and the connection is closed
 * @param maxConnections connections open at once on the listener; a further one gets 503 and is
 *     closed
 * @param backlog connections that the system may hold before they are accepted; it refuses further
 *     ones
 * @param headTimeoutNs time for a whole head from its first byte; 408 and closed
 * @param bodyTimeoutNs time for a whole request body; 408 and closed
 * @param idleTimeoutNs time between requests; closed
 * @param stallTimeoutNs time in which a client takes not one byte of a response; reset
 * @param maxRequestsPerConnection requests on one connection before it is closed in order
 * @param halfCloseEndsExchange whether a client that ends its side while it waits for a response
 *     has left; else it still gets the response
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

    /** Limits for a listener that states none of its own. */
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

    /** Returns these limits with another on connections. */
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
     * Returns these limits with other timeouts for heads, bodies, idle connections and stalls, ns.
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
