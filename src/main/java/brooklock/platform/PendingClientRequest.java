package brooklock.platform;

import brooklock.routing.RouterAction.StartAttempt;
import java.util.ArrayList;
import java.util.List;

/**
 * A request from its arrival to the end of its last attempt. Owned by the I/O thread.
 *
 * <p>It is open until it is completed: by its final response, or by a client that cancels it or
 * disconnects. Attempts in flight may outlive that; the request is finished once none is left.
 */
final class PendingClientRequest {
    private final long routingId;
    private final ClientRequest clientRequest;
    private final long acceptedAtNs;
    private final long deadlineNs;
    private final ClientConnection connection;
    private final long messageId;
    private final List<EndpointAttempt> attempts = new ArrayList<>(2);
    private final List<EndpointConnection> usedConnections = new ArrayList<>(1);
    private boolean completed;
    private int openAttempts;

    /**
     * Creates an open request.
     *
     * @param routingId the request's id in router events and actions
     * @param clientRequest what the client sent
     * @param acceptedAtNs when it was accepted, on the router's clock
     * @param deadlineNs when the client stops waiting, on the router's clock
     * @param connection where the response goes
     * @param messageId the call that the response answers
     */
    PendingClientRequest(
            long routingId,
            ClientRequest clientRequest,
            long acceptedAtNs,
            long deadlineNs,
            ClientConnection connection,
            long messageId) {
        this.routingId = routingId;
        this.clientRequest = clientRequest;
        this.acceptedAtNs = acceptedAtNs;
        this.deadlineNs = deadlineNs;
        this.connection = connection;
        this.messageId = messageId;
    }

    long routingId() {
        return routingId;
    }

    ClientRequest clientRequest() {
        return clientRequest;
    }

    long acceptedAtNs() {
        return acceptedAtNs;
    }

    long deadlineNs() {
        return deadlineNs;
    }

    ClientConnection connection() {
        return connection;
    }

    long messageId() {
        return messageId;
    }

    /** Adds an attempt that the router decided. */
    EndpointAttempt addAttempt(StartAttempt decision, long nowNs) {
        EndpointAttempt attempt = new EndpointAttempt(this, attempts.size(), decision, nowNs);
        attempts.add(attempt);
        openAttempts++;
        return attempt;
    }

    /** Returns the attempt of that index, or null if there is none. */
    EndpointAttempt attempt(int index) {
        return index < attempts.size() ? attempts.get(index) : null;
    }

    /** Counts the end of one of its attempts. */
    void onAttemptEnded() {
        openAttempts--;
    }

    /** Notes that an attempt was written to a connection. */
    void addUsedConnection(EndpointConnection used) {
        usedConnections.add(used);
    }

    /**
     * Returns whether an attempt was written to this connection. No second one may be: a late
     * response to the first would be taken for the second's, since both carry the same id.
     */
    boolean hasUsed(EndpointConnection candidate) {
        return usedConnections.contains(candidate);
    }

    /** Marks that its final response is out, or that none is wanted any more. */
    void complete() {
        completed = true;
    }

    boolean isCompleted() {
        return completed;
    }

    /** Returns whether nothing of it is left: completed, and no attempt open. */
    boolean isFinished() {
        return completed && openAttempts == 0;
    }
}
