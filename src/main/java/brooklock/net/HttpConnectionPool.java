package brooklock.net;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import org.xnio.StreamConnection;
import org.xnio.ssl.JsseXnioSsl;

/**
 * The connections of one I/O thread to one endpoint, and the calls that wait for a connection. Used
 * on that I/O thread only; nothing is shared with the pools of other threads.
 *
 * <p>A call that finds no idle connection waits for the next one that is established or becomes
 * free, for at most {@link ClientLimits#connectTimeoutNs}. Waiting calls are served in the order in
 * which they were submitted.
 */
final class HttpConnectionPool {
    /** A connection fails once it has been pending for this multiple of the connect timeout. */
    private static final int MAX_CONNECT_TIMEOUTS = 4;

    private final IoLoop loop;
    private final InetSocketAddress address;
    private final ClientLimits limits;
    private final JsseXnioSsl tls;
    private final ArrayDeque<HttpClientConnection> idleConnections = new ArrayDeque<>();
    private final ArrayDeque<ClientCall> waitingCalls = new ArrayDeque<>();

    /** Number of all connections, including those being established. */
    private int openCount;

    /** Number of connections being established, including overdue ones. */
    private int connectingCount;

    /**
     * Number of connections being established for longer than the connect timeout. No waiting call
     * counts on them.
     */
    private int overdueCount;

    HttpConnectionPool(
            IoLoop loop, InetSocketAddress address, ClientLimits limits, JsseXnioSsl tls) {
        this.loop = loop;
        this.address = address;
        this.limits = limits;
        this.tls = tls;
    }

    /** Starts the call on an idle connection, or queues it until a connection is available. */
    void submit(ClientCall call) {
        loop.checkThread();
        if (startOnIdle(call)) {
            return;
        }
        if (waitingCalls.size() - expectedCount() >= limits.maxWaitingCalls()) {
            call.fail(
                    CallFailure.NOT_CONNECTED,
                    "the maximum number of calls is already waiting for a connection");
            return;
        }
        waitingCalls.add(call);
        call.onQueued(
                loop.schedule(
                        limits.connectTimeoutNs(),
                        () -> {
                            if (waitingCalls.remove(call)) {
                                call.fail(CallFailure.NOT_CONNECTED, "no connection in time");
                            }
                        }));
        connectMore();
    }

    void removeWaiting(ClientCall call) {
        waitingCalls.remove(call);
    }

    // The connection used most recently is the least likely to have been closed by the endpoint.
    private boolean startOnIdle(ClientCall call) {
        for (HttpClientConnection connection = idleConnections.pollFirst();
                connection != null;
                connection = idleConnections.pollFirst()) {
            if (connection.isAlive()) {
                connection.start(call);
                return true;
            }
            connection.closeNow();
        }
        return false;
    }

    private int expectedCount() {
        return connectingCount - overdueCount;
    }

    // Opens up to one connection for each waiting call, but only a few at a time: each connect
    // costs the endpoint CPU time (milliseconds with TLS), and a connection that becomes free may
    // serve a call before a new one is established. An overdue connection keeps its place among
    // those few, so that a slow endpoint is not given more handshakes to make.
    private void connectMore() {
        while (expectedCount() < waitingCalls.size()
                && connectingCount < limits.maxConnecting()
                && openCount < limits.maxConnections()) {
            openCount++;
            connectingCount++;
            PooledConnectAttempt attempt = new PooledConnectAttempt(this, loop, address, tls);
            attempt.start(MAX_CONNECT_TIMEOUTS * limits.connectTimeoutNs());
            loop.schedule(limits.connectTimeoutNs(), attempt::becomeOverdue);
        }
    }

    /**
     * Called when a connection has not been established within the connect timeout. The call that
     * has waited longest fails, since waiting calls are not bound to particular attempts. The
     * attempt goes on: a new one would be delayed in the same way, and a connection that is
     * established late serves later calls.
     */
    void onOverdue() {
        overdueCount++;
        failLongestWaiting("no connection in time");
        connectMore();
    }

    /**
     * Called when a connection, including its TLS handshake, has been established.
     *
     * @param overdue whether {@link #onOverdue} has been called for it
     */
    void onConnected(StreamConnection channel, boolean overdue) {
        onConnectEnded(overdue);
        release(new HttpClientConnection(this, loop, channel, limits));
        connectMore();
    }

    /**
     * Called when a connect attempt has failed. The call that has waited longest fails for the same
     * reason, unless a call has failed already because the attempt was overdue.
     *
     * @param overdue whether {@link #onOverdue} has been called for the attempt
     */
    void onConnectFailed(String reason, boolean overdue) {
        onConnectEnded(overdue);
        openCount--;
        if (!overdue) {
            failLongestWaiting(reason);
        }
        connectMore();
    }

    private void onConnectEnded(boolean overdue) {
        connectingCount--;
        overdueCount -= overdue ? 1 : 0;
    }

    private void failLongestWaiting(String reason) {
        ClientCall longestWaiting = waitingCalls.pollFirst();
        if (longestWaiting != null) {
            longestWaiting.fail(CallFailure.NOT_CONNECTED, reason);
        }
    }

    /**
     * Called when a connection can carry another call. Starts the call that has waited longest. If
     * no call is waiting, keeps the connection for reuse or, beyond {@link
     * ClientLimits#maxIdleConnections}, closes it.
     */
    void release(HttpClientConnection connection) {
        ClientCall waiting = waitingCalls.pollFirst();
        if (waiting != null) {
            waiting.onDequeued();
            connection.start(waiting);
        } else if (idleConnections.size() < limits.maxIdleConnections()) {
            idleConnections.addFirst(connection);
            connection.becomeIdle();
        } else {
            connection.closeNow();
        }
    }

    /** Called when a connection has been closed. */
    void onClosed(HttpClientConnection connection) {
        openCount--;
        idleConnections.remove(connection);
        connectMore();
    }

    void closeIdle() {
        for (HttpClientConnection connection = idleConnections.pollFirst();
                connection != null;
                connection = idleConnections.pollFirst()) {
            connection.closeNow();
        }
    }

    boolean isUnused() {
        return openCount == 0 && waitingCalls.isEmpty();
    }
}
