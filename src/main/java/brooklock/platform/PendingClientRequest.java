package brooklock.platform;

import brooklock.routing.AttemptOutcome;
import brooklock.routing.RouterAction.StartAttempt;
import java.util.ArrayList;
import java.util.List;

/**
 * A client's request, from its acceptance to the end of its last attempt. Not thread-safe; owned by
 * the I/O thread.
 *
 * <p>A request is open until it is completed, either by its final response or because the client
 * cancels it or disconnects. Attempts may still be in flight at that time; the request is finished
 * once all of them have ended too.
 */
final class PendingClientRequest {
    private final long routingId;
    private final ClientRequest clientRequest;
    private final long acceptedAtNs;
    private final long deadlineNs;
    private final ClientConnection connection;
    private final long messageId;
    private final List<EndpointAttempt> attempts = new ArrayList<>(2);
    private final List<EndpointConnection.Identity> usedConnections = new ArrayList<>(1);
    private boolean completed;
    private boolean mayHaveExecuted;
    private long keySentAtNs = IdempotencyKeyLog.NEVER;
    private int openAttempts;

    /**
     * Creates an open request.
     *
     * @param routingId the id of the request in router events and actions
     * @param clientRequest the request as the client sent it
     * @param acceptedAtNs the time of its acceptance on the router's clock, ns
     * @param deadlineNs the time until which the client waits, on the router's clock, ns
     * @param connection the connection to which the response is written
     * @param messageId the id of the call that the response answers
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

    /**
     * Adds an attempt.
     *
     * @param decision the router's decision
     * @param nowNs the current time on the router's clock, ns
     */
    EndpointAttempt addAttempt(StartAttempt decision, long nowNs) {
        EndpointAttempt attempt = new EndpointAttempt(this, attempts.size(), decision, nowNs);
        attempts.add(attempt);
        openAttempts++;
        return attempt;
    }

    /** Returns the attempt with the specified index, or null if there is none. */
    EndpointAttempt attempt(int index) {
        return index < attempts.size() ? attempts.get(index) : null;
    }

    /** Called when one of the request's attempts has ended. */
    void onAttemptEnded(AttemptOutcome outcome) {
        openAttempts--;
        mayHaveExecuted |= !outcome.provesNotExecuted;
    }

    /** Returns whether an attempt that has ended may have been executed. */
    boolean mayHaveExecuted() {
        return mayHaveExecuted;
    }

    /** Records that the idempotency key is sent with an attempt; the first time counts. */
    void onKeySent(long sentAtNs) {
        if (keySentAtNs == IdempotencyKeyLog.NEVER) {
            keySentAtNs = sentAtNs;
        }
    }

    /**
     * Returns when the idempotency key was first sent with this request, on the router's clock, ns;
     * {@link IdempotencyKeyLog#NEVER} if it was not.
     */
    long keySentAtNs() {
        return keySentAtNs;
    }

    /** Records that an attempt is sent on a connection. */
    void addUsedConnection(EndpointConnection used) {
        usedConnections.add(used.identity());
    }

    /**
     * Returns whether an attempt of this request was sent on a connection. A second attempt must
     * not use the same connection: both carry the same id, and a late response to the first would
     * be mistaken for the response to the second.
     */
    boolean hasUsed(EndpointConnection candidate) {
        return usedConnections.contains(candidate.identity());
    }

    /** Marks the request as completed. No response is sent after that. */
    void complete() {
        completed = true;
    }

    boolean isCompleted() {
        return completed;
    }

    /** Returns whether the request is completed and all of its attempts have ended. */
    boolean isFinished() {
        return completed && openAttempts == 0;
    }
}
