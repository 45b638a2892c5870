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

    /** Memory of a request with its attempts and timers, without its body, bytes. */
    static final long REQUEST_BYTES = 2048;

    private static final long NS_PER_MS = 1_000_000L;

    private final MemoryBudget.Account memory;
    private final Map<Long, PendingClientRequest> byRoutingId = new HashMap<>();
    private final Map<Long, PendingClientRequest> openByClientId = new HashMap<>();
    private long lastRoutingId;
    private int openCount;

    /**
     * Creates an empty table.
     *
     * @param memory the account of the memory of all requests
     */
    PendingClientRequestTable(MemoryBudget.Account memory) {
        this.memory = memory;
    }

    /** Returns whether the request can be added without exceeding the bounds. */
    boolean canAccept(ClientRequest clientRequest) {
        return openCount < MAX_PENDING_REQUESTS && memory.permits(memoryOf(clientRequest));
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
        memory.add(memoryOf(clientRequest));
        openCount++;
        return request;
    }

    private static long memoryOf(ClientRequest clientRequest) {
        return REQUEST_BYTES + clientRequest.body().length;
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
            memory.add(-memoryOf(request.clientRequest()));
        }
    }
}
