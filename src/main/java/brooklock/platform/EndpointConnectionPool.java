package brooklock.platform;

import brooklock.net.RawConnection;
import brooklock.routing.AttemptOutcome;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The connections to one endpoint and the attempts that wait for one. Owned by the I/O thread.
 *
 * <p>A connection carries one attempt while more connections may be opened, so that a broken one
 * takes little with it; only when no more may be opened, or when a new one is slow to come up, do
 * attempts share. The HTTP dispatcher's pool stays apart for that reason: its connections carry one
 * request at a time and never share.
 *
 * <p>A connection is on its way ({@link ConnectionOpener}), then busy or idle, then closed. A pool
 * is in use until it is {@linkplain #retire retired}: from then on it starts nothing new, and its
 * connections close as they become idle.
 */
final class EndpointConnectionPool implements ConnectionOpener.Listener {
    private static final Logger LOG = LoggerFactory.getLogger(EndpointConnectionPool.class);
    // Attempts that may wait for a connection; further ones fail as not connected.
    private static final int MAX_QUEUED_ATTEMPTS = 1024;

    private final String endpointName;
    private final InetSocketAddress address;
    private final int maxInFlight;
    private final ConnectionBudget budget;
    private final AttemptHandler attemptHandler;
    private final ConnectionOpener opener;
    private final List<EndpointConnection> connections = new ArrayList<>();
    private final ArrayDeque<EndpointConnection> idleConnections = new ArrayDeque<>();
    private final ArrayDeque<EndpointAttempt> queue = new ArrayDeque<>();
    private boolean retired;

    /**
     * Creates a pool without connections.
     *
     * @param endpointName the endpoint's name, for the log
     * @param address where it listens
     * @param settings what holds for the connections to every endpoint
     * @param budget says whether one more connection may be opened
     * @param attemptHandler makes the attempts' frames and takes their results
     */
    EndpointConnectionPool(
            String endpointName,
            InetSocketAddress address,
            ConnectionSettings settings,
            ConnectionBudget budget,
            AttemptHandler attemptHandler) {
        this.endpointName = endpointName;
        this.address = address;
        maxInFlight = settings.maxInFlight();
        this.budget = budget;
        this.attemptHandler = attemptHandler;
        opener = new ConnectionOpener(settings, address, this);
    }

    /**
     * Sends an attempt: on an idle connection, else on a new one, else on the one with the fewest
     * attempts in flight.
     */
    void send(EndpointAttempt attempt) {
        EndpointConnection free = selectConnection(attempt);
        if (free != null) {
            startOrRelease(attempt, free);
        } else if (retired || queue.size() >= MAX_QUEUED_ATTEMPTS) {
            failUnconnected(attempt);
        } else {
            queue.add(attempt);
            openConnections();
        }
    }

    // A connection that was taken from the idle ones for an attempt that does not start goes back
    // to them.
    private void startOrRelease(EndpointAttempt attempt, EndpointConnection connection) {
        if (!start(attempt, connection) && connection.inFlight() == 0) {
            onIdle(connection);
        }
    }

    // The frame is made at this moment, so that it promises the endpoint only the time that is
    // left, and an attempt whose grounds have changed while it waited goes back to the router.
    private boolean start(EndpointAttempt attempt, EndpointConnection connection) {
        Optional<ByteBuffer> frame = attemptHandler.startFrame(attempt);
        if (frame.isEmpty()) {
            attemptHandler.onCompleted(
                    attempt, AttemptResult.withoutResponse(AttemptOutcome.NOT_STARTED));
            return false;
        }
        connection.send(attempt, frame.get());
        return true;
    }

    private EndpointConnection selectConnection(EndpointAttempt attempt) {
        for (EndpointConnection connection : idleConnections) {
            if (connection.canCarry(attempt.request(), maxInFlight)) {
                idleConnections.remove(connection);
                return connection;
            }
        }
        return budget.permits(connectionCount()) ? null : leastBusy(attempt);
    }

    private EndpointConnection leastBusy(EndpointAttempt attempt) {
        EndpointConnection best = null;
        for (EndpointConnection connection : connections) {
            if (connection.canCarry(attempt.request(), maxInFlight)
                    && (best == null || connection.inFlight() < best.inFlight())) {
                best = connection;
            }
        }
        return best;
    }

    private void openConnections() {
        while (opener.expectedCount() < queue.size() && budget.permits(connectionCount())) {
            budget.makeRoom();
            opener.open();
        }
    }

    @Override
    public void onConnected(RawConnection transport) {
        EndpointConnection connection = new EndpointConnection(this, transport);
        connections.add(connection);
        onIdle(connection);
    }

    @Override
    public void onSlow() {
        for (EndpointAttempt attempt : queuedAttempts()) {
            EndpointConnection shared = leastBusy(attempt);
            if (shared != null && queue.remove(attempt)) {
                idleConnections.remove(shared);
                startOrRelease(attempt, shared);
            }
        }
    }

    @Override
    public void onFailed(String reason) {
        EndpointAttempt first = queue.poll();
        logFailure(reason, queue.size() + 1);
        if (first != null) {
            failUnconnected(first);
        }
        openConnections();
    }

    private void failUnconnected(EndpointAttempt attempt) {
        attemptHandler.onCompleted(
                attempt, AttemptResult.withoutResponse(AttemptOutcome.CONNECT_FAILED));
    }

    /** Gives a connection that has nothing in flight the attempts that wait, or keeps it idle. */
    void onIdle(EndpointConnection connection) {
        for (EndpointAttempt attempt = queue.peek();
                attempt != null && connection.canCarry(attempt.request(), maxInFlight);
                attempt = queue.peek()) {
            queue.poll();
            if (start(attempt, connection)) {
                return;
            }
        }
        if (retired) {
            connection.close();
        } else if (connection.inFlight() == 0 && !connection.isClosed()) {
            idleConnections.addFirst(connection);
        }
    }

    /** Takes the result of an attempt that was in flight. */
    void onCompleted(EndpointAttempt attempt, AttemptResult result) {
        attemptHandler.onCompleted(attempt, result);
    }

    /** Forgets a connection that has closed. */
    void remove(EndpointConnection connection) {
        connections.remove(connection);
        idleConnections.remove(connection);
        openConnections();
    }

    /** Returns the attempts that wait for a connection; a copy. */
    List<EndpointAttempt> queuedAttempts() {
        return List.copyOf(queue);
    }

    /** Forgets an attempt that waits for a connection. */
    void dequeue(EndpointAttempt attempt) {
        queue.remove(attempt);
    }

    /** Returns how many connections there are, those on their way included. */
    int connectionCount() {
        return connections.size() + opener.pendingCount();
    }

    /** Returns the connection that has been idle for longest, or null if none is idle. */
    EndpointConnection longestIdle() {
        return idleConnections.peekLast();
    }

    /**
     * Closes connections that have been idle since before a time.
     *
     * @param idleBeforeNs a reading of {@link System#nanoTime}
     */
    void closeIdleSince(long idleBeforeNs) {
        for (EndpointConnection connection = idleConnections.peekLast();
                connection != null && connection.idleSinceNs() - idleBeforeNs < 0;
                connection = idleConnections.peekLast()) {
            connection.close();
        }
    }

    /**
     * Starts nothing new from now on, since the endpoint has left the list or has moved: its
     * address may soon be another's. Attempts in flight go on; those that wait fail as not
     * connected.
     */
    void retire() {
        retired = true;
        opener.cancelAll();
        for (EndpointAttempt attempt = queue.poll(); attempt != null; attempt = queue.poll()) {
            failUnconnected(attempt);
        }
        for (EndpointConnection connection = idleConnections.peek();
                connection != null;
                connection = idleConnections.peek()) {
            connection.close();
        }
    }

    /** Returns whether the pool's connections lead to this address. */
    boolean hasAddress(InetSocketAddress candidate) {
        return address.equals(candidate);
    }

    /** Returns {@code name=connections/in flight/queued}, for the log. */
    String summary() {
        int inFlight = 0;
        for (EndpointConnection connection : connections) {
            inFlight += connection.inFlight();
        }
        return endpointName + "=" + connectionCount() + "/" + inFlight + "/" + queue.size();
    }

    /**
     * Logs that a connection failed.
     *
     * @param reason what happened
     * @param attempts how many attempts it concerned
     */
    void logFailure(String reason, int attempts) {
        if (LOG.isDebugEnabled()) {
            LOG.debug(
                    "connection to {} at {} failed: {}; {} attempts",
                    endpointName,
                    address,
                    reason,
                    attempts);
        }
    }
}
