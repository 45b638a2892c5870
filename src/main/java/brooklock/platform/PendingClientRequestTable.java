package brooklock.platform;

import java.util.HashMap;
import java.util.Map;

/**
 * The requests that have been accepted and are not finished, with bounds on their number and
 * memory. Not thread-safe; owned by the I/O thread.
 */
final class PendingClientRequestTable {
    // Maximum number of open requests. A single core cannot serve as many within a deadline, so
    // further requests would only wait until they time out.
    private static final int MAX_PENDING_REQUESTS = 8192;
    // All bodies of pending requests together may occupy at most the heap size divided by this;
    // more would leave too little memory for responses.
    private static final int BODY_HEAP_DIVISOR = 8;
    private static final long NS_PER_MS = 1_000_000L;

    private final Map<Long, PendingClientRequest> byRoutingId = new HashMap<>();
    private final Map<Long, PendingClientRequest> openByClientId = new HashMap<>();
    private long lastRoutingId;
    private int openCount;
    private long totalBodyBytes;
    private long maxBodyBytes = Runtime.getRuntime().maxMemory() / BODY_HEAP_DIVISOR;

    /** Sets the maximum number of bytes in the bodies of all pending requests together. */
    void setMaxBodyBytes(long bytes) {
        maxBodyBytes = bytes;
    }

    /** Returns whether the request can be added without exceeding the bounds. */
    boolean canAccept(ClientRequest clientRequest) {
        return openCount < MAX_PENDING_REQUESTS
                && totalBodyBytes + clientRequest.body().length <= maxBodyBytes;
    }

    /**
     * Adds a request.
     *
     * @param clientRequest the request as the client sent it; its id must not be {@linkplain
     *     #isOpen open}
     * @param connection the connection to which the response is written
     * @param messageId the id of the call that the response answers
     * @param nowNs the current time on the router's clock, ns
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
        totalBodyBytes += clientRequest.body().length;
        openCount++;
        return request;
    }

    /** Returns the request with the specified routing id, or null if it is finished. */
    PendingClientRequest get(long routingId) {
        return byRoutingId.get(routingId);
    }

    /** Returns the request with the specified routing id, or null if it is completed. */
    PendingClientRequest getOpen(long routingId) {
        PendingClientRequest request = byRoutingId.get(routingId);
        return request == null || request.isCompleted() ? null : request;
    }

    /** Returns whether a request with the specified client id has no final response yet. */
    boolean isOpen(long clientId) {
        return openByClientId.containsKey(clientId);
    }

    /** Returns the number of requests without a final response. */
    int openCount() {
        return openCount;
    }

    /** Marks an open request as completed and removes it if all of its attempts have ended. */
    void complete(PendingClientRequest request) {
        request.complete();
        openCount--;
        openByClientId.remove(request.clientRequest().id(), request);
        removeIfFinished(request);
    }

    /** Removes a request if it is finished. */
    void removeIfFinished(PendingClientRequest request) {
        if (request.isFinished() && byRoutingId.remove(request.routingId()) != null) {
            totalBodyBytes -= request.clientRequest().body().length;
        }
    }
}
