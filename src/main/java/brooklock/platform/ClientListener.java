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
 * Accepts connections from clients and bounds their number, their idle time and the memory of their
 * pending responses. Not thread-safe; owned by the I/O thread.
 *
 * <p>A listener serves all requests until {@link #reportUnhealthy} is called. From then on health
 * checks are answered with false, so that clients choose another dispatcher, while requests are
 * still accepted. After {@link #shutDown} requests are rejected and connections close as they
 * become idle.
 */
final class ClientListener {
    private static final Logger LOG = LoggerFactory.getLogger(ClientListener.class);
    // Maximum number of established connections that wait in the operating system to be accepted.
    private static final int ACCEPT_BACKLOG = 512;
    // Time after which an idle connection is closed, ns. Clients close idle connections after 4 s;
    // with a shorter timeout a client could send a call while the dispatcher closes the connection.
    private static final long IDLE_TIMEOUT_NS = 8_000_000_000L;
    private static final long SWEEP_INTERVAL_NS = 500_000_000L;
    // Maximum duration of a whole message, ns; longer than every deadline.
    private static final long MESSAGE_TIMEOUT_NS = 6_000_000_000L;

    /** Interval at which a shutdown closes connections that have become idle, ns. */
    static final long SHUTDOWN_POLL_NS = 10_000_000L;

    /**
     * Maximum number of gracefully closing connections in addition to the bound on connections. The
     * creator of a listener reserves file descriptors for them.
     */
    static final int MAX_CLOSING_CONNECTIONS = 16;

    private final IoLoop loop;
    private final Map<String, RequestClassRules> requestClasses;
    private final int maxConnections;
    private final RequestExecutor executor;
    private final PartialMessageMemory partialCalls;
    private final MemoryBudget.Account outputMemory;
    private final Set<ClientConnection> connections = new LinkedHashSet<>();
    private RawListener listener;
    private long messageTimeoutNs = MESSAGE_TIMEOUT_NS;
    private int closingConnections;
    private boolean healthy = true;
    private boolean rejectingRequests;

    /**
     * Creates a listener; {@link #open} starts listening.
     *
     * @param loop the I/O thread that owns the listener
     * @param requestClasses the rules of each request class by the name of the class
     * @param maxConnections maximum number of open connections; when it is reached, a new
     *     connection replaces an idle connection, or is closed if no connection is idle
     * @param executor the executor of the requests
     * @param memory bounds the memory of partially received calls and of pending output
     */
    ClientListener(
            IoLoop loop,
            Map<String, RequestClassRules> requestClasses,
            int maxConnections,
            RequestExecutor executor,
            MemoryBudget memory) {
        partialCalls = new PartialMessageMemory(memory.partialCalls());
        outputMemory = memory.clientOutput();
        outputMemory.setReclaimer(this::reclaimOutputMemory);
        this.loop = loop;
        this.requestClasses = requestClasses;
        this.maxConnections = maxConnections;
        this.executor = executor;
    }

    /**
     * Starts listening on an address.
     *
     * @param threads the I/O threads, of which the owner of this listener is one
     * @param address the local address
     * @return the listening socket
     * @throws IOException if the address is in use or is not a local address
     */
    RawListener open(IoThreads threads, InetSocketAddress address) throws IOException {
        loop.execute(this::closeIdleConnections);
        listener = RawListener.open(threads, address, ACCEPT_BACKLOG, this::accept);
        return listener;
    }

    /** Accepts a connection, or closes it if the bound is reached and no connection is idle. */
    void accept(RawConnection transport) {
        if (connections.size() - closingConnections >= maxConnections && !evictIdle()) {
            transport.close();
            return;
        }
        ClientConnection connection = new ClientConnection(this, transport);
        connections.add(connection);
        connection.start();
    }

    // Evicts the oldest idle connection that has never sent a message, or else the connection that
    // has been idle for longest. Without eviction, silent clients could lock out clients that have
    // requests. Returns whether a connection was evicted.
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

    /**
     * Called when a connection starts to close gracefully. The connection occupies its file
     * descriptor until {@link #onClosed} is called.
     */
    void onClosing() {
        closingConnections++;
    }

    /** Removes a connection whose graceful close has finished. */
    void onClosed(ClientConnection connection) {
        closingConnections--;
        remove(connection);
    }

    /** Removes a connection that has been closed. */
    void remove(ClientConnection connection) {
        connections.remove(connection);
    }

    RequestExecutor executor() {
        return executor;
    }

    /** Called when output has been written or queued for a client. */
    void onOutputQueued() {
        if (outputMemory.isExceeded()) {
            reclaimOutputMemory();
        }
    }

    // Closes the connection whose pending output takes the most memory until the account is not
    // exceeded any more; otherwise clients that do not read their responses would fill the heap.
    private void reclaimOutputMemory() {
        connections.forEach(ClientConnection::reportOutputMemory);
        ClientConnection largest = connectionWithMostOutput();
        while (outputMemory.isExceeded() && largest != null) {
            largest.close();
            largest = connectionWithMostOutput();
        }
    }

    // Returns null if no output is pending.
    private ClientConnection connectionWithMostOutput() {
        ClientConnection largest = null;
        long largestBytes = 0;
        for (ClientConnection connection : connections) {
            if (connection.pendingWriteBytes() > largestBytes) {
                largestBytes = connection.pendingWriteBytes();
                largest = connection;
            }
        }
        return largest;
    }

    /** Returns the account of the output that waits to be written to all clients. */
    MemoryBudget.Account outputMemory() {
        return outputMemory;
    }

    /** Returns the memory of the calls that all clients have sent in part. */
    PartialMessageMemory partialCalls() {
        return partialCalls;
    }

    /** Returns the maximum duration of a whole message, ns. */
    long messageTimeoutNs() {
        return messageTimeoutNs;
    }

    /** Sets the maximum duration of a whole message, ns. For tests. */
    void setMessageTimeoutNs(long ns) {
        messageTimeoutNs = ns;
    }

    /** Returns the rules of each request class by the name of the class. */
    Map<String, RequestClassRules> requestClasses() {
        return requestClasses;
    }

    /**
     * Returns whether health checks are answered with true; false once {@link #reportUnhealthy} has
     * been called.
     */
    boolean isHealthy() {
        return healthy;
    }

    /** Returns whether new requests are rejected. */
    boolean isRejectingRequests() {
        return rejectingRequests;
    }

    /**
     * Answers health checks with false from now on, so that clients choose another dispatcher.
     * Connections and requests are still accepted until {@link #shutDown}.
     */
    void reportUnhealthy() {
        healthy = false;
    }

    /**
     * Rejects new requests from now on, stops listening and closes each connection gracefully as it
     * becomes idle.
     *
     * @param onShutDown called on the I/O thread when the last connection has closed
     */
    void shutDown(Runnable onShutDown) {
        rejectingRequests = true;
        // Waits one interval, because connections that were accepted before this moment may still
        // be queued for the I/O thread.
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

    /** Returns the number of connections, including those that are closing. */
    int connectionCount() {
        return connections.size();
    }

    /** Logs a client's violation of the protocol. */
    void logClientFault(String reason) {
        LOG.debug("client fault: {}", reason);
    }
}
