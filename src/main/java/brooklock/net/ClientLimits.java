package brooklock.net;

import brooklock.http.HttpLimits;

/**
 * Limits of an {@link HttpClient}, each of which applies per endpoint and I/O thread. Immutable, so
 * that threads may share one. Times are in nanoseconds.
 *
 * @param http limits of a response; a call whose response exceeds one fails with {@link
 *     CallFailure#MALFORMED_RESPONSE}
 * @param maxConnections maximum number of open connections, including those being established;
 *     further calls wait
 * @param maxConnecting maximum number of connections being established at once; further calls wait
 *     for one of them or for a connection that becomes free
 * @param maxWaitingCalls maximum number of waiting calls in excess of the number of connections
 *     being established; a further call fails at once with {@link CallFailure#NOT_CONNECTED}
 * @param maxIdleConnections maximum number of idle connections kept for reuse
 * @param connectTimeoutNs maximum time that a call waits for a connection; a connection that is
 *     established later, within a few times that time, serves later calls
 * @param idleTimeoutNs time after which an idle connection is closed; it must be shorter than the
 *     idle timeout of every endpoint, so that a request is rarely written to a connection that the
 *     endpoint is closing
 * @param stallTimeoutNs maximum time in which no further byte of a response body arrives, after
 *     which the call fails with {@link CallFailure#CONNECTION_LOST}
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

    /** Default limits. */
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

    /** Returns a copy of these limits with the given connect timeout, in nanoseconds. */
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

    /** Returns a copy with the given maximum of connections, waiting calls and idle connections. */
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

    /** Returns a copy with the given maximum of connections being established at once. */
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
