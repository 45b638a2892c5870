package brooklock.net;

import brooklock.http.HttpLimits;

/**
 * The limits of an {@link HttpClient}, each per endpoint and I/O thread. Times in nanoseconds.
 *
 * @param http limits of a response; exceeding one is {@link CallFailure#MALFORMED_RESPONSE}
 * @param maxConnections connections open at once; further calls wait
 * @param maxConnecting connections being established at once; further calls wait for one of them,
 *     or for a connection that becomes free
 * @param maxWaitingCalls waiting calls; further ones fail at once as {@link
 *     CallFailure#NOT_CONNECTED}
 * @param maxIdleConnections connections kept for reuse
 * @param connectTimeoutNs time for a connection to be established, and for a call to wait for one
 * @param idleTimeoutNs time until an unused connection is closed; shorter than any endpoint's own,
 *     so that a request is rarely written to a connection that the endpoint is closing
 * @param stallTimeoutNs time without a byte of a body that has begun; the call then fails as {@link
 *     CallFailure#CONNECTION_LOST}
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

    /** Limits for a client that states none of its own. */
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

    /** Returns these limits with another connect timeout, ns. */
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

    /** Returns these limits with others on connections, waiting calls and idle connections. */
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

    /** Returns these limits with another on connections being established. */
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
