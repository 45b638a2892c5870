package brooklock.platform;

import brooklock.net.IoLoop;
import brooklock.net.IoThreads;
import brooklock.net.RawConnection;
import brooklock.net.RawListener;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The listening side: clients' connections within their bound. Belongs to the I/O thread. */
final class ClientListener {
    private static final Logger LOG = LoggerFactory.getLogger(ClientListener.class);
    // Connections the system holds until they are accepted.
    private static final int ACCEPT_BACKLOG = 512;
    // Time without a call after which a connection is closed, ns; clients close theirs after 4 s.
    private static final long IDLE_TIMEOUT_NS = 8_000_000_000L;
    private static final long SWEEP_INTERVAL_NS = 500_000_000L;
    // Time for a whole message, ns: above every deadline, and a client that sends byte by byte
    // holds no place for ever.
    private static final long MESSAGE_TIMEOUT_NS = 6_000_000_000L;
    // Part of the heap that answers may take together until their clients take them; then the one
    // with most is closed.
    private static final int PENDING_WRITE_HEAP_DIVISOR = 4;
    // Time between looks at whether all has been answered, at the end, ns.
    static final long SHUTDOWN_POLL_NS = 10_000_000L;
    // Connections that may be ending in order above the bound: their descriptors are counted in
    // Node's.
    static final int MAX_CLOSING_CONNECTIONS = 16;

    private final IoLoop loop;
    private final Map<String, ClientRequest.RequestClass> classes;
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
     * Not listening yet.
     *
     * @param most connections that may be open; above it an idle one has to go, or else the new one
     */
    ClientListener(
            IoLoop loop,
            Map<String, ClientRequest.RequestClass> classes,
            int maxConnections,
            RequestExecutor executor) {
        this.loop = loop;
        this.classes = classes;
        this.maxConnections = maxConnections;
        this.executor = executor;
    }

    RawListener open(IoThreads net, InetSocketAddress at) throws IOException {
        loop.execute(this::closeIdleConnections);
        listener = RawListener.open(net, at, ACCEPT_BACKLOG, this::accept);
        return listener;
    }

    /** Takes a connection. */
    void accept(RawConnection stream) {
        if (connections.size() - closingConnections >= maxConnections && !evictIdle()) {
            stream.close();
            return;
        }
        ClientConnection connection = new ClientConnection(this, stream);
        connections.add(connection);
        connection.start();
    }

    // The one that has said nothing for longest goes, before one that has been idle for longest.
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
        List.copyOf(connections).stream()
                .filter(
                        connection ->
                                connection.isIdle() && connection.idleSinceNs() - idleBeforeNs < 0)
                .forEach(ClientConnection::closeIfIdle);
        loop.schedule(SWEEP_INTERVAL_NS, this::closeIdleConnections);
    }

    /** A connection is ending in order, and holds its descriptor a while yet. */
    void onClosing() {
        closingConnections++;
    }

    void onClosed(ClientConnection connection) {
        closingConnections--;
        remove(connection);
    }

    void remove(ClientConnection connection) {
        connections.remove(connection);
    }

    RequestExecutor executor() {
        return executor;
    }

    /** An answer waits for its client to take it. */
    void onWriteBacklog() {
        if (connections.stream().mapToLong(ClientConnection::pendingWriteBytes).sum()
                > maxPendingWriteBytes) {
            connections.stream()
                    .max(Comparator.comparingLong(ClientConnection::pendingWriteBytes))
                    .ifPresent(ClientConnection::close);
        }
    }

    /** Sets how many bytes may wait for all clients together. */
    void maxPendingWriteBytes(long bytes) {
        maxPendingWriteBytes = bytes;
    }

    /** Time for a whole message, ns. */
    long messageTimeoutNs() {
        return messageTimeoutNs;
    }

    /** Sets the time for a whole message, ns. */
    void messageTimeoutNs(long ns) {
        messageTimeoutNs = ns;
    }

    Map<String, ClientRequest.RequestClass> classes() {
        return classes;
    }

    /** What {@code isWell} is answered. */
    boolean healthy() {
        return healthy;
    }

    /** Whether new requests are refused. */
    boolean rejectingRequests() {
        return rejectingRequests;
    }

    /** No new clients are wanted; those that come are served. */
    void startDraining() {
        healthy = false;
    }

    /**
     * Refuses new requests from now on, listens no more and ends each connection in order once all
     * of it is answered.
     *
     * @param ended called when the last has ended
     */
    void shutDown(Runnable onShutDown) {
        rejectingRequests = true;
        // Connections that the system has taken are on their way to this thread yet.
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

    int connectionCount() {
        return connections.size();
    }

    void logClientFault(String reason) {
        LOG.debug("client: {}", reason);
    }
}
