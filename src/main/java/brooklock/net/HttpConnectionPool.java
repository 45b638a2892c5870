package brooklock.net;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import org.xnio.StreamConnection;
import org.xnio.ssl.JsseXnioSsl;

/**
 * The connections of one I/O thread to one endpoint, and the calls that wait for one.
 *
 * <p>A call that finds no idle connection waits for the first that is established or becomes free,
 * no longer than a connect may take. All limits are per endpoint and I/O thread; nothing is shared
 * with the pools of other threads.
 */
final class HttpConnectionPool {
    private final IoLoop loop;
    private final InetSocketAddress address;
    private final ClientLimits limits;
    private final JsseXnioSsl tls;
    private final ArrayDeque<HttpClientConnection> idleConnections = new ArrayDeque<>();
    private final ArrayDeque<ClientCall> waitingCalls = new ArrayDeque<>();

    /** All connections, those being established included. */
    private int openCount;

    private int connectingCount;

    HttpConnectionPool(
            IoLoop loop, InetSocketAddress address, ClientLimits limits, JsseXnioSsl tls) {
        this.loop = loop;
        this.address = address;
        this.limits = limits;
        this.tls = tls;
    }

    void submit(ClientCall call) {
        loop.checkThread();
        if (startOnIdle(call)) {
            return;
        }
        if (waitingCalls.size() - connectingCount >= limits.maxWaitingCalls()) {
            call.fail(CallFailure.NOT_CONNECTED, "too many wait for a connection");
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

    // The connection used last is the least likely to have been closed by the endpoint meanwhile.
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

    // One for each waiting call, but few at a time: each connect keeps the endpoint busy (with TLS
    // for milliseconds), and a connection that becomes free may serve a call before its own is up.
    private void connectMore() {
        while (connectingCount < waitingCalls.size()
                && connectingCount < limits.maxConnecting()
                && openCount < limits.maxConnections()) {
            openCount++;
            connectingCount++;
            new PooledConnectAttempt(this, loop, address, tls).start(limits.connectTimeoutNs());
        }
    }

    void onConnected(StreamConnection channel) {
        connectingCount--;
        release(new HttpClientConnection(this, loop, channel, limits));
        connectMore();
    }

    /** A connect has failed; so does the call that has waited longest, whatever it waited for. */
    void onConnectFailed(String reason) {
        connectingCount--;
        openCount--;
        ClientCall longestWaiting = waitingCalls.pollFirst();
        if (longestWaiting != null) {
            longestWaiting.fail(CallFailure.NOT_CONNECTED, reason);
        }
        connectMore();
    }

    /** A connection can carry another call. */
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

    /** A connection has been closed. */
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
