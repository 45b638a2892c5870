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
    private final IoLoop loop;
    private final InetSocketAddress address;
    private final ClientLimits limits;
    private final JsseXnioSsl tls;
    private final ArrayDeque<HttpClientConnection> idleConnections = new ArrayDeque<>();
    private final ArrayDeque<ClientCall> waitingCalls = new ArrayDeque<>();

    /** Number of all connections, including those being established. */
    private int openCount;

    private int connectingCount;

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
        if (waitingCalls.size() - connectingCount >= limits.maxWaitingCalls()) {
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

    // Opens up to one connection for each waiting call, but only a few at a time: each connect
    // costs the endpoint CPU time (milliseconds with TLS), and a connection that becomes free may
    // serve a call before a new one is established.
    private void connectMore() {
        while (connectingCount < waitingCalls.size()
                && connectingCount < limits.maxConnecting()
                && openCount < limits.maxConnections()) {
            openCount++;
            connectingCount++;
            new PooledConnectAttempt(this, loop, address, tls).start(limits.connectTimeoutNs());
        }
    }

    /** Called when a connection, including its TLS handshake, has been established. */
    void onConnected(StreamConnection channel) {
        connectingCount--;
        release(new HttpClientConnection(this, loop, channel, limits));
        connectMore();
    }

    /**
     * Called when a connect attempt has failed. The call that has waited longest fails for the same
     * reason, since waiting calls are not bound to particular attempts.
     */
    void onConnectFailed(String reason) {
        connectingCount--;
        openCount--;
        ClientCall longestWaiting = waitingCalls.pollFirst();
        if (longestWaiting != null) {
            longestWaiting.fail(CallFailure.NOT_CONNECTED, reason);
        }
        connectMore();
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
