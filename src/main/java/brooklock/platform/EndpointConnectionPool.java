package brooklock.platform;

import brooklock.net.IoLoop;
import brooklock.net.RawConnection;
import brooklock.routing.AttemptOutcome;
import brooklock.routing.CacheStatus;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Connections to one host. Each carries one request while there is room for more connections, so
 * that a broken one takes little with it; only then do they share. Belongs to the I/O thread.
 */
final class EndpointConnectionPool {
    private static final Logger LOG = LoggerFactory.getLogger(EndpointConnectionPool.class);
    // Attempts that may wait for a connection; further ones find none.
    private static final int MAX_QUEUED_ATTEMPTS = 1024;
    // A connection still on its way after this part of its time-out is late: whoever waits shares
    // one that is there.
    private static final int SLOW_CONNECT_DIVISOR = 8;
    // One that is not there by its time-out fails its attempt and is waited for so many time-outs
    // in all, to be there for
    // the next: calling it off and dialling anew would meet the same way again.
    private static final int MAX_CONNECT_TIMEOUTS = 4;

    /** How connections are made. */
    interface ConnectionFactory {
        /**
         * Begins one; calls either of the two later, unless what it gives is run before, which
         * gives it up.
         *
         * @param limitNs longest that it may take, ns
         */
        Runnable connect(
                InetSocketAddress address,
                long limitNs,
                Consumer<RawConnection> onConnected,
                Consumer<String> onFailed);
    }

    // A connection on its way; once it is overdue no attempt counts on it.
    private static final class PendingConnection {
        Runnable cancel;
        boolean overdue;
    }

    /** Room for connections among those to all hosts. */
    interface ConnectionBudget {
        /** Whether a host with so many may have one more. */
        boolean permits(int connections);

        /** Makes room for one more. */
        void makeRoom();
    }

    /** What an attempt comes to. */
    interface AttemptListener {
        void onCompleted(
                Attempt attempt,
                AttemptOutcome outcome,
                CacheStatus note,
                long sourceWaitNs,
                Frame response);
    }

    private final String endpointName;
    private final IoLoop loop;
    private final ConnectionFactory connectionFactory;
    private final InetSocketAddress address;
    private final long connectTimeoutNs;
    private final int maxInFlightPerConnection;
    private final ConnectionBudget budget;
    private final Function<Attempt, ByteBuffer> frameFactory;
    private final AttemptListener attemptListener;
    private final List<EndpointConnection> connections = new ArrayList<>();
    private final ArrayDeque<EndpointConnection> idleConnections = new ArrayDeque<>();
    private final ArrayDeque<Attempt> queue = new ArrayDeque<>();
    private final List<PendingConnection> pendingConnections = new ArrayList<>();
    private boolean removed;

    /**
     * None yet.
     *
     * @param dialer makes connections
     * @param timeoutNs time for one to come up, ns
     * @param streams requests that one connection may carry
     * @param room says whether one more connection may be opened
     * @param frames makes an attempt's frame as it is written, or null where it must not begin any
     *     more
     */
    EndpointConnectionPool(
            String endpointName,
            IoLoop loop,
            ConnectionFactory connectionFactory,
            InetSocketAddress address,
            long connectTimeoutNs,
            int maxInFlightPerConnection,
            ConnectionBudget budget,
            Function<Attempt, ByteBuffer> frameFactory,
            AttemptListener attemptListener) {
        this.endpointName = endpointName;
        this.loop = loop;
        this.connectionFactory = connectionFactory;
        this.connectTimeoutNs = connectTimeoutNs;
        this.address = address;
        this.maxInFlightPerConnection = maxInFlightPerConnection;
        this.budget = budget;
        this.frameFactory = frameFactory;
        this.attemptListener = attemptListener;
    }

    /**
     * Sends an attempt on a connection that is free, on a new one, or where there may be no more,
     * on the least busy.
     */
    void send(Attempt attempt) {
        EndpointConnection free = selectConnection(attempt);
        if (free != null) {
            startOrRelease(attempt, free);
        } else if (removed || queue.size() >= MAX_QUEUED_ATTEMPTS) {
            attemptListener.onCompleted(
                    attempt, AttemptOutcome.CONNECT_FAILED, CacheStatus.NONE, 0, null);
        } else {
            queue.add(attempt);
            openConnections();
        }
    }

    // A connection that was taken from the idle ones for an attempt that does not begin goes back
    // to them.
    private void startOrRelease(Attempt attempt, EndpointConnection connection) {
        if (!start(attempt, connection) && connection.inFlight() == 0) {
            onIdle(connection);
        }
    }

    // What is written is true at its first byte: an attempt that waited too long, or whose grounds
    // have changed since it
    // was decided, goes back to the module, which is told that it never ran.
    private boolean start(Attempt attempt, EndpointConnection connection) {
        ByteBuffer frame = frameFactory.apply(attempt);
        if (frame == null) {
            attemptListener.onCompleted(
                    attempt, AttemptOutcome.NOT_STARTED, CacheStatus.NONE, 0, null);
            return false;
        }
        connection.send(attempt, frame);
        return true;
    }

    private EndpointConnection selectConnection(Attempt attempt) {
        for (EndpointConnection connection : idleConnections) {
            if (connection.canCarry(attempt.request, maxInFlightPerConnection)) {
                idleConnections.remove(connection);
                return connection;
            }
        }
        return budget.permits(connectionCount()) ? null : leastBusy(attempt);
    }

    private EndpointConnection leastBusy(Attempt attempt) {
        EndpointConnection best = null;
        for (EndpointConnection connection : connections) {
            if (connection.canCarry(attempt.request, maxInFlightPerConnection)
                    && (best == null || connection.inFlight() < best.inFlight())) {
                best = connection;
            }
        }
        return best;
    }

    private void openConnections() {
        while (pendingConnections.stream().filter(pending -> !pending.overdue).count()
                        < queue.size()
                && budget.permits(connectionCount())) {
            budget.makeRoom();
            PendingConnection pending = new PendingConnection();
            pendingConnections.add(pending);
            pending.cancel =
                    connectionFactory.connect(
                            address,
                            MAX_CONNECT_TIMEOUTS * connectTimeoutNs,
                            stream -> onConnected(pending, stream),
                            reason -> onConnectFailed(pending, reason));
            loop.schedule(connectTimeoutNs / SLOW_CONNECT_DIVISOR, () -> onSlowConnect(pending));
            loop.schedule(connectTimeoutNs, () -> onConnectTimeout(pending));
        }
    }

    private void onSlowConnect(PendingConnection pending) {
        if (!pendingConnections.contains(pending)) {
            return;
        }
        for (Attempt attempt : queuedAttempts()) {
            EndpointConnection shared = leastBusy(attempt);
            if (shared != null && queue.remove(attempt)) {
                idleConnections.remove(shared);
                startOrRelease(attempt, shared);
            }
        }
    }

    private void onConnectTimeout(PendingConnection pending) {
        if (pendingConnections.contains(pending)) {
            pending.overdue = true;
            failFirstQueued("no connection in time");
        }
    }

    private void onConnected(PendingConnection pending, RawConnection stream) {
        pendingConnections.remove(pending);
        EndpointConnection connection = new EndpointConnection(this, stream);
        connections.add(connection);
        onIdle(connection);
    }

    private void onConnectFailed(PendingConnection pending, String reason) {
        pendingConnections.remove(pending);
        if (!pending.overdue) {
            failFirstQueued(reason);
        }
    }

    private void failFirstQueued(String reason) {
        Attempt first = queue.poll();
        log(reason, queue.size() + 1);
        if (first != null) {
            attemptListener.onCompleted(
                    first, AttemptOutcome.CONNECT_FAILED, CacheStatus.NONE, 0, null);
        }
        openConnections();
    }

    /** A connection has nothing to do. */
    void onIdle(EndpointConnection connection) {
        for (Attempt attempt = queue.peek();
                attempt != null && connection.canCarry(attempt.request, maxInFlightPerConnection);
                attempt = queue.peek()) {
            queue.poll();
            if (start(attempt, connection)) {
                return;
            }
        }
        if (removed) {
            connection.close();
        } else if (connection.inFlight() == 0 && !connection.isClosed()) {
            idleConnections.addFirst(connection);
        }
    }

    /** Attempts that wait for a connection. */
    List<Attempt> queuedAttempts() {
        return List.copyOf(queue);
    }

    /** Connections, also those on their way. */
    int connectionCount() {
        return connections.size() + pendingConnections.size();
    }

    /** The connection that has been idle for longest, or null. */
    EndpointConnection longestIdle() {
        return idleConnections.peekLast();
    }

    /** An attempt that waits in line is over. */
    void dequeue(Attempt attempt) {
        queue.remove(attempt);
    }

    void remove(EndpointConnection connection) {
        connections.remove(connection);
        idleConnections.remove(connection);
        openConnections();
    }

    void onCompleted(
            Attempt attempt,
            AttemptOutcome outcome,
            CacheStatus note,
            long sourceWaitNs,
            Frame response) {
        attemptListener.onCompleted(attempt, outcome, note, sourceWaitNs, response);
    }

    /** Closes connections that have been idle since before a moment of {@link System#nanoTime}. */
    void closeIdleSince(long idleBeforeNs) {
        for (EndpointConnection connection = idleConnections.peekLast();
                connection != null && connection.idleSinceNs() - idleBeforeNs < 0;
                connection = idleConnections.peekLast()) {
            connection.close();
        }
    }

    /** The host has left the list: its address may soon be another's, so nothing new goes there. */
    void retire() {
        removed = true;
        pendingConnections.forEach(pending -> pending.cancel.run());
        pendingConnections.clear();
        for (Attempt attempt = queue.poll(); attempt != null; attempt = queue.poll()) {
            attemptListener.onCompleted(
                    attempt, AttemptOutcome.CONNECT_FAILED, CacheStatus.NONE, 0, null);
        }
        for (EndpointConnection connection = idleConnections.peek();
                connection != null;
                connection = idleConnections.peek()) {
            connection.close();
        }
    }

    /** Whether these lead to an address. */
    boolean hasAddress(InetSocketAddress where) {
        return address.equals(where);
    }

    /** Connections, attempts on them, attempts that wait for one. */
    String summary() {
        return endpointName
                + "="
                + connectionCount()
                + "/"
                + connections.stream().mapToInt(EndpointConnection::inFlight).sum()
                + "/"
                + queue.size();
    }

    void log(String reason, int attempts) {
        if (LOG.isDebugEnabled()) {
            LOG.debug("{} at {}: {}; {} attempts", endpointName, address, reason, attempts);
        }
    }
}
