package brooklock.platform;

import java.util.HashMap;
import java.util.Map;

/**
 * The requests that were accepted and are not finished, and the bounds on them. Owned by the I/O
 * thread.
 */
final class PendingClientRequestTable {
    // More than one core can serve within a deadline; what comes above it would only wait.
    private static final int MAX_PENDING_REQUESTS = 8192;
    // The bodies of pending requests may take the heap divided by this; more would leave no room
    // for responses.
    private static final int BODY_HEAP_DIVISOR = 8;
    private static final long NS_PER_MS = 1_000_000L;

    private final Map<Long, PendingClientRequest> byRoutingId = new HashMap<>();
    private final Map<Long, PendingClientRequest> openByClientId = new HashMap<>();
    private long lastRoutingId;
    private int openCount;
    private long heldBodyBytes;
    private long maxBodyBytes = Runtime.getRuntime().maxMemory() / BODY_HEAP_DIVISOR;

    /** Sets how many bytes the bodies of all pending requests may take together. */
    void setMaxBodyBytes(long bytes) {
        maxBodyBytes = bytes;
    }

    /** Returns whether one more request fits within the bounds. */
    boolean hasRoomFor(ClientRequest clientRequest) {
        return openCount < MAX_PENDING_REQUESTS
                && heldBodyBytes + clientRequest.body().length <= maxBodyBytes;
    }

    /**
     * Adds a request.
     *
     * @param clientRequest what the client sent; its id is not {@linkplain #isOpen open}
     * @param connection where the response goes
     * @param messageId the call that the response answers
     * @param nowNs the time on the router's clock
     */
    PendingClientRequest add(
            ClientRequest clientRequest, ClientConnection connection, long messageId, long nowNs) {
        PendingClientRequest request =
                new PendingClientRequest(
                        ++lastRoutingId,
                        clientRequest,
                        nowNs,
                        nowNs + clientRequest.timeoutMs() * NS_PER_MS,
                        connection,
                        messageId);
        byRoutingId.put(request.routingId(), request);
        openByClientId.put(clientRequest.id(), request);
        heldBodyBytes += clientRequest.body().length;
        openCount++;
        return request;
    }

    /** Returns the request of that id in router events, or null if it is finished. */
    PendingClientRequest get(long routingId) {
        return byRoutingId.get(routingId);
    }

    /** Returns the request of that id in router events, or null if it is completed. */
    PendingClientRequest getOpen(long routingId) {
        PendingClientRequest request = byRoutingId.get(routingId);
        return request == null || request.isCompleted() ? null : request;
    }

    /** Returns whether a client's request of this id has no final response yet. */
    boolean isOpen(long clientId) {
        return openByClientId.containsKey(clientId);
    }

    /** Returns how many requests have no final response yet. */
    int openCount() {
        return openCount;
    }

    /** Completes an open request; forgets it if no attempt of it is left. */
    void complete(PendingClientRequest request) {
        request.complete();
        openCount--;
        openByClientId.remove(request.clientRequest().id(), request);
        removeIfFinished(request);
    }

    /** Forgets a request of which nothing is left. */
    void removeIfFinished(PendingClientRequest request) {
        if (request.isFinished() && byRoutingId.remove(request.routingId()) != null) {
            heldBodyBytes -= request.clientRequest().body().length;
        }
    }
}
