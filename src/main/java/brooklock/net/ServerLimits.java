package brooklock.net;

import brooklock.http.HttpLimits;

/**
 * The bounds of a listener, each with what happens when it is hit.
 *
 * @param http bounds of messages; the sender is told by status and the connection closed
 * @param connections connections open at once on the listener; further ones are answered 503 and
 *     closed
 * @param backlog connections the system may hold before they are accepted; it refuses further ones
 * @param headNs time for a whole head from its first byte; 408 and closed
 * @param bodyNs time for a whole request body; 408 and closed
 * @param idleNs time between requests; closed
 * @param stallNs time in which a client takes not one byte of an answer; broken off
 * @param requests requests on one connection before it is closed in an orderly way
 * @param halfCloseLeaves a client that ends its side while it waits has left; else it is still
 *     answered
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

    /** Bounds for a listener that has none of its own. */
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

    /** The same with another bound on connections. */
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

    /** The same with other times for heads, bodies and stalls, ns. */
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
