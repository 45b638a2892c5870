package brooklock.platform;

import java.util.ArrayList;
import java.util.List;

/** A request from its coming to the end of its last attempt. */
final class PendingRequest {
    final long routingId;
    final ClientRequest clientRequest;
    final long acceptedAtNs;
    final long deadlineNs;
    final ClientConnection connection;
    final long messageId;
    final List<Attempt> attempts = new ArrayList<>(2);

    /**
     * Connections that an attempt was written to: a second answer of an earlier one must not be
     * taken for a later one's.
     */
    final List<EndpointConnection> usedConnections = new ArrayList<>(1);

    boolean completed;
    int openAttempts;

    PendingRequest(
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
}
