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
 * A pool of connections to one endpoint, with a queue of attempts that wait for a connection. Not
 * thread-safe; owned by the I/O thread.
 *
 * <p>A connection carries one attempt at a time while more connections may be opened, so that the
 * loss of a connection affects few attempts. Attempts share a connection only when no more
 * connections may be opened or when a new connection is slow to be established. The HTTP dispatcher
 * does not use this class, because its connections carry one request at a time and are never
 * shared.
 *
 * <p>A connection is pending ({@link ConnectionOpener}) at first, then busy or idle, and finally
 * closed. A pool is in use until it is {@linkplain #retire retired}; from then on it starts no
 * attempts, and its connections close as they become idle.
 */
final class EndpointConnectionPool implements ConnectionOpener.Listener {
    private static final Logger LOG = LoggerFactory.getLogger(EndpointConnectionPool.class);
    // Maximum number of attempts that wait for a connection; further attempts end as
    // CONNECT_FAILED.
    private static final int MAX_QUEUED_ATTEMPTS = 1024;

    private final String endpointName;
    private final InetSocketAddress address;
    private final int maxInFlight;
    private final ConnectionBudget budget;
    private final PartialMessageMemory partialResponses;
    private final AttemptHandler attemptHandler;
    private final ConnectionOpener opener;
    private final List<EndpointConnection> connections = new ArrayList<>();
    private final ArrayDeque<EndpointConnection> idleConnections = new ArrayDeque<>();
    private final ArrayDeque<EndpointAttempt> queue = new ArrayDeque<>();
    private long processStartedAtMs;
    private boolean retired;

    /**
     * Creates a pool without connections.
     *
     * @param endpointName the name of the endpoint, for the log
     * @param address the address of the endpoint
     * @param processStartedAtMs when the endpoint's process started, in Unix milliseconds; 0 if it
     *     is not known to have started late
     * @param settings the settings of the connections to endpoints
     * @param budget decides whether one more connection may be opened
     * @param partialResponses bounds the memory of the partially received responses of all
     *     endpoints
     * @param attemptHandler encodes attempts and receives their results
     */
    EndpointConnectionPool(
            String endpointName,
            InetSocketAddress address,
            long processStartedAtMs,
            ConnectionSettings settings,
            ConnectionBudget budget,
            PartialMessageMemory partialResponses,
            AttemptHandler attemptHandler) {
        this.endpointName = endpointName;
        this.address = address;
        this.processStartedAtMs = processStartedAtMs;
        maxInFlight = settings.maxInFlight();
        this.budget = budget;
        this.partialResponses = partialResponses;
        this.attemptHandler = attemptHandler;
        opener = new ConnectionOpener(settings, address, this);
    }

    /**
     * Sends an attempt on an idle connection, or else on a new one, or, if no more connections may
     * be opened, on the connection with the fewest attempts in flight. If none of these is possible
     * or the new connection is not established yet, the attempt waits in the queue. It ends as
     * {@link AttemptOutcome#CONNECT_FAILED} if the queue is full or the pool is retired.
     */
    void send(EndpointAttempt attempt) {
        EndpointConnection connection = selectConnection(attempt);
        if (connection != null) {
            startOrReturnToIdle(attempt, connection);
        } else if (retired || queue.size() >= MAX_QUEUED_ATTEMPTS) {
            failAsNotConnected(attempt);
        } else {
            queue.add(attempt);
            openConnections();
        }
    }

    // Starts an attempt on a connection that is not in the list of idle connections. If the attempt
    // does not start and the connection is unused, the connection is added to that list again;
    // otherwise the pool would not use it any more.
    private void startOrReturnToIdle(EndpointAttempt attempt, EndpointConnection connection) {
        if (!tryStart(attempt, connection) && connection.inFlightCount() == 0) {
            onIdle(connection);
        }
    }

    // Encodes the frame only when a connection is available: the time limit in the frame is reduced
    // by the time spent in the queue, and an attempt whose list entries have changed in the
    // meantime is returned to the router.
    private boolean tryStart(EndpointAttempt attempt, EndpointConnection connection) {
        Optional<ByteBuffer> frame = attemptHandler.startAndEncode(attempt);
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
            if (connection.canSend(attempt.request(), maxInFlight)) {
                idleConnections.remove(connection);
                return connection;
            }
        }
        return budget.permitsConnection(connectionCount()) ? null : leastLoadedConnection(attempt);
    }

    private EndpointConnection leastLoadedConnection(EndpointAttempt attempt) {
        EndpointConnection best = null;
        for (EndpointConnection connection : connections) {
            if (connection.canSend(attempt.request(), maxInFlight)
                    && (best == null || connection.inFlightCount() < best.inFlightCount())) {
                best = connection;
            }
        }
        return best;
    }

    private void openConnections() {
        while (opener.expectedCount() < queue.size()
                && budget.permitsConnection(connectionCount())) {
            budget.evictIdleIfFull();
            opener.open();
        }
    }

    @Override
    public void onConnected(RawConnection transport) {
        EndpointConnection connection = new EndpointConnection(this, partialResponses, transport);
        connections.add(connection);
        onIdle(connection);
    }

    @Override
    public void onSlow() {
        for (EndpointAttempt attempt : queuedAttempts()) {
            EndpointConnection shared = leastLoadedConnection(attempt);
            if (shared != null && queue.remove(attempt)) {
                idleConnections.remove(shared);
                startOrReturnToIdle(attempt, shared);
            }
        }
    }

    @Override
    public void onFailed(String reason) {
        EndpointAttempt failedAttempt = queue.poll();
        logFailure(reason, queue.size() + 1);
        if (failedAttempt != null) {
            failAsNotConnected(failedAttempt);
        }
        openConnections();
    }

    private void failAsNotConnected(EndpointAttempt attempt) {
        attemptHandler.onCompleted(
                attempt, AttemptResult.withoutResponse(AttemptOutcome.CONNECT_FAILED));
    }

    /**
     * Called when a connection has no attempts in flight. Starts the next queued attempt on the
     * connection. If no attempt starts, the connection becomes idle, or is closed if the pool is
     * retired.
     */
    void onIdle(EndpointConnection connection) {
        for (EndpointAttempt attempt = queue.peek();
                attempt != null && connection.canSend(attempt.request(), maxInFlight);
                attempt = queue.peek()) {
            queue.poll();
            if (tryStart(attempt, connection)) {
                return;
            }
        }
        if (retired) {
            connection.close();
        } else if (connection.inFlightCount() == 0 && !connection.isClosed()) {
            idleConnections.addFirst(connection);
        }
    }

    /** Called with the result of an attempt that was in flight. */
    void onCompleted(EndpointAttempt attempt, AttemptResult result) {
        attemptHandler.onCompleted(attempt, result);
    }

    /** Removes a connection that has closed. */
    void remove(EndpointConnection connection) {
        connections.remove(connection);
        idleConnections.remove(connection);
        openConnections();
    }

    /** Returns a copy of the queue of attempts that wait for a connection. */
    List<EndpointAttempt> queuedAttempts() {
        return List.copyOf(queue);
    }

    /** Removes an attempt from the queue. */
    void removeQueued(EndpointAttempt attempt) {
        queue.remove(attempt);
    }

    /** Returns the number of connections, including pending ones. */
    int connectionCount() {
        return connections.size() + opener.pendingCount();
    }

    /** Returns the connection that has been idle for longest, or null if none is idle. */
    EndpointConnection longestIdleConnection() {
        return idleConnections.peekLast();
    }

    /**
     * Closes the connections that became idle before the specified time.
     *
     * @param idleBeforeNs the time as a {@link System#nanoTime} reading
     */
    void closeIdleBefore(long idleBeforeNs) {
        for (EndpointConnection connection = idleConnections.peekLast();
                connection != null && connection.idleSinceNs() - idleBeforeNs < 0;
                connection = idleConnections.peekLast()) {
            connection.close();
        }
    }

    /**
     * Stops starting attempts. Called when the endpoint has left the list or its address has
     * changed, since its old address may soon belong to another endpoint. Attempts in flight
     * continue; queued attempts end as {@link AttemptOutcome#CONNECT_FAILED}.
     */
    void retire() {
        retired = true;
        opener.cancelAll();
        for (EndpointAttempt attempt = queue.poll(); attempt != null; attempt = queue.poll()) {
            failAsNotConnected(attempt);
        }
        for (EndpointConnection connection = idleConnections.peek();
                connection != null;
                connection = idleConnections.peek()) {
            connection.close();
        }
    }

    /**
     * Closes the connections to earlier processes of the endpoint. These are gone although the
     * connections may give no sign of it; attempts in flight on them end as {@link
     * AttemptOutcome#RESET}. Connections that are more recent than the process are connections to
     * it and stay open.
     *
     * @param startedAtMs when the present process started, in Unix milliseconds; 0 if it is not
     *     known to have started late
     */
    void onProcessStarted(long startedAtMs) {
        if (startedAtMs <= processStartedAtMs) {
            return;
        }
        processStartedAtMs = startedAtMs;
        for (EndpointConnection connection : List.copyOf(connections)) {
            if (connection.openedAtMs() < startedAtMs) {
                connection.closeForRestart();
            }
        }
    }

    /** Returns whether the pool connects to the specified address. */
    boolean hasAddress(InetSocketAddress candidate) {
        return address.equals(candidate);
    }

    /** Returns a summary for the log: {@code name=connections/in flight/queued}. */
    String summary() {
        int inFlight = 0;
        for (EndpointConnection connection : connections) {
            inFlight += connection.inFlightCount();
        }
        return endpointName + "=" + connectionCount() + "/" + inFlight + "/" + queue.size();
    }

    /**
     * Logs that a connection failed.
     *
     * @param reason the reason of the failure
     * @param attempts the number of attempts that were in flight on the connection or waited for
     *     one
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
