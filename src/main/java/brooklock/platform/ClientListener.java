package brooklock.platform;

import brooklock.net.IoLoop;
import brooklock.net.IoThreads;
import brooklock.net.RawConnection;
import brooklock.net.RawListener;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Accepts clients and holds their connections within the bounds. Owned by the I/O thread.
 *
 * <p>It serves until {@link #reportUnhealthy}, after which health checks say that no new clients
 * are wanted while requests are still accepted, and until {@link #shutDown}, after which requests
 * are rejected and connections close as they become idle.
 */
final class ClientListener {
    private static final Logger LOG = LoggerFactory.getLogger(ClientListener.class);
    // Connections that the operating system holds until they are accepted.
    private static final int ACCEPT_BACKLOG = 512;
    // Time without a call after which a connection is closed, ns; longer than the 4 s after which
    // clients close theirs, so that no call crosses the close.
    private static final long IDLE_TIMEOUT_NS = 8_000_000_000L;
    private static final long SWEEP_INTERVAL_NS = 500_000_000L;
    // Time for a whole message, ns; above every deadline.
    private static final long MESSAGE_TIMEOUT_NS = 6_000_000_000L;
    // Responses that clients have not read yet may take the heap divided by this; above it the
    // connection with the most is closed, before the heap is full.
    private static final int PENDING_WRITE_HEAP_DIVISOR = 4;

    /** Interval at which a shutdown looks for connections that have become idle, ns. */
    static final long SHUTDOWN_POLL_NS = 10_000_000L;

    /**
     * Connections that may be closing gracefully beyond the bound on connections. Their descriptors
     * have to be set aside for them.
     */
    static final int MAX_CLOSING_CONNECTIONS = 16;

    private final IoLoop loop;
    private final Map<String, RequestClassRules> classes;
    private final int maxConnections;
    private final RequestExecutor executor;
    private final Set<ClientConnection> connections = new LinkedHashSet<>();
    private RawListener listener;
    private long messageTimeoutNs = MESSAGE_TIMEOUT_NS;
    private long maxPendingWriteBytes =
            Runtime.getRuntime().maxMemory() / PENDING_WRITE_HEAP_DIVISOR;
    private int closingConnections;
    private boolean healthy = true;
    private boolean rejectingRequests;

    /**
     * Creates a listener that does not listen yet.
     *
     * @param loop the I/O thread that owns it
     * @param classes what is known of each class of requests, by its name
     * @param maxConnections connections that may be open; above that an idle one is closed, or else
     *     the new one
     * @param executor runs the requests
     */
    ClientListener(
            IoLoop loop,
            Map<String, RequestClassRules> classes,
            int maxConnections,
            RequestExecutor executor) {
        this.loop = loop;
        this.classes = classes;
        this.maxConnections = maxConnections;
        this.executor = executor;
    }

    /**
     * Begins to listen.
     *
     * @throws IOException if the address is in use or not this machine's
     */
    RawListener open(IoThreads threads, InetSocketAddress address) throws IOException {
        loop.execute(this::closeIdleConnections);
        listener = RawListener.open(threads, address, ACCEPT_BACKLOG, this::accept);
        return listener;
    }

    /** Accepts a connection, or closes it if there is no room. */
    void accept(RawConnection transport) {
        if (connections.size() - closingConnections >= maxConnections && !evictIdle()) {
            transport.close();
            return;
        }
        ClientConnection connection = new ClientConnection(this, transport);
        connections.add(connection);
        connection.start();
    }

    // A client that has never sent a message goes first, the oldest of them; then the one that has
    // been idle for longest. Otherwise silent clients would keep out those that have requests.
    private boolean evictIdle() {
        ClientConnection longestIdle = null;
        for (ClientConnection connection : connections) {
            if (!connection.isIdle()) {
                continue;
            }
            if (!connection.hasSentMessage()) {
                connection.close();
                return true;
            }
            longestIdle =
                    longestIdle == null || connection.idleSinceNs() - longestIdle.idleSinceNs() < 0
                            ? connection
                            : longestIdle;
        }
        return longestIdle != null
                && closingConnections < MAX_CLOSING_CONNECTIONS
                && longestIdle.closeIfIdle();
    }

    private void closeIdleConnections() {
        long idleBeforeNs = System.nanoTime() - IDLE_TIMEOUT_NS;
        for (ClientConnection connection : List.copyOf(connections)) {
            if (connection.isIdle() && connection.idleSinceNs() - idleBeforeNs < 0) {
                connection.closeIfIdle();
            }
        }
        loop.schedule(SWEEP_INTERVAL_NS, this::closeIdleConnections);
    }

    /** Counts a connection that closes gracefully and holds its descriptor for a while. */
    void onClosing() {
        closingConnections++;
    }

    /** Forgets a connection that has closed gracefully. */
    void onClosed(ClientConnection connection) {
        closingConnections--;
        remove(connection);
    }

    /** Forgets a connection that has closed. */
    void remove(ClientConnection connection) {
        connections.remove(connection);
    }

    RequestExecutor executor() {
        return executor;
    }

    /**
     * A response waits for its client to read it: closes the connection with the most, if needed.
     */
    void onWriteBacklog() {
        long pendingBytes = 0;
        long maxBytes = 0;
        ClientConnection slowest = null;
        for (ClientConnection connection : connections) {
            long bytes = connection.pendingWriteBytes();
            pendingBytes += bytes;
            if (bytes > maxBytes) {
                maxBytes = bytes;
                slowest = connection;
            }
        }
        if (slowest != null && pendingBytes > maxPendingWriteBytes) {
            slowest.close();
        }
    }

    /** Sets how many bytes may wait to be written to all clients together. For tests. */
    void setMaxPendingWriteBytes(long bytes) {
        maxPendingWriteBytes = bytes;
    }

    /** Returns the time for a whole message, ns. */
    long messageTimeoutNs() {
        return messageTimeoutNs;
    }

    /** Sets the time for a whole message, ns. For tests. */
    void setMessageTimeoutNs(long ns) {
        messageTimeoutNs = ns;
    }

    /** Returns what is known of each class of requests, by its name. */
    Map<String, RequestClassRules> classes() {
        return classes;
    }

    /** Returns what health checks are answered. */
    boolean healthy() {
        return healthy;
    }

    /** Returns whether new requests are rejected. */
    boolean isRejectingRequests() {
        return rejectingRequests;
    }

    /**
     * Answers health checks with false from now on, so that no new clients come. Connections and
     * requests that come nevertheless are accepted until {@link #shutDown}.
     */
    void reportUnhealthy() {
        healthy = false;
    }

    /**
     * Rejects new requests from now on, stops listening and closes each connection gracefully once
     * it is idle.
     *
     * @param onShutDown called when the last has closed
     */
    void shutDown(Runnable onShutDown) {
        rejectingRequests = true;
        // Connections that were accepted before this moment may still be queued for this thread.
        loop.schedule(
                SHUTDOWN_POLL_NS,
                () -> {
                    listener.acceptRemainingAndClose();
                    closeIdleUntilNoneLeft(onShutDown);
                });
    }

    private void closeIdleUntilNoneLeft(Runnable onShutDown) {
        List.copyOf(connections).forEach(ClientConnection::closeIfIdle);
        if (connections.isEmpty()) {
            onShutDown.run();
        } else {
            loop.schedule(SHUTDOWN_POLL_NS, () -> closeIdleUntilNoneLeft(onShutDown));
        }
    }

    /** Returns how many connections there are, those that are closing included. */
    int connectionCount() {
        return connections.size();
    }

    /** Logs what a client did wrong. */
    void logClientFault(String reason) {
        LOG.debug("client fault: {}", reason);
    }
}
