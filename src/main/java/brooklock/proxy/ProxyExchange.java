package brooklock.proxy;

import brooklock.authorization.TenantLimiter;
import brooklock.http.Fields;
import brooklock.http.Forwarding;
import brooklock.http.Framing;
import brooklock.http.ResponseHead;
import brooklock.net.HttpExchange;
import brooklock.routing.AttemptOutcome;
import brooklock.routing.CacheStatus;
import brooklock.routing.RouterAction.StartAttempt;
import brooklock.routing.RouterEvent.ClientDisconnected;
import brooklock.routing.RouterEvent.RequestReceived;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * The state of one admitted request. It ends once the final response has been sent or the client
 * has disconnected, and no attempt is open.
 *
 * <p>All members except {@link #countsAgainstTenantLimits} must be used on the client's I/O thread;
 * after the end, the routing thread may read the result. Because one thread owns the exchange, a
 * plain field guarantees exactly one final response: the first of a router action, an endpoint's
 * response and the client's disconnect closes the exchange, and the others have no effect.
 */
final class ProxyExchange {
    final long id;
    final RoutedRequest request;
    final byte[] body;

    /** Whether the request counts against its tenant's limits. Used by the routing thread only. */
    boolean countsAgainstTenantLimits;

    private final ProxyContext context;
    private final Optional<WarmingCoordinator> warming;
    private final Consumer<ProxyExchange> endListener;
    private final List<UpstreamAttempt> attempts = new ArrayList<>(2);
    private int openAttempts;
    private boolean closed;
    private boolean ended;
    private int status;
    private long responseBytes;
    // Null until the final response has ended or the client has disconnected.
    private Completion completion;

    /**
     * Creates a new exchange without attempts.
     *
     * @param id the identifier, unique within this dispatcher
     * @param body the complete body of the request; empty if there is none
     * @param endListener called once, on the client's I/O thread, when the final response has been
     *     sent or the client has disconnected, and no attempt is open
     */
    ProxyExchange(
            ProxyContext context,
            long id,
            RoutedRequest request,
            byte[] body,
            Optional<WarmingCoordinator> warming,
            Consumer<ProxyExchange> endListener) {
        this.context = context;
        this.id = id;
        this.request = request;
        this.body = body;
        this.warming = warming;
        this.endListener = endListener;
    }

    /** Returns the event that submits the request to the router. */
    RequestReceived toRequestEvent() {
        RouteTable.Match match = request.match();
        return new RequestReceived(
                id,
                match.classIndex(),
                match.object(),
                match.part(),
                match.group(),
                0,
                false,
                request.deadlineNs());
    }

    /**
     * Returns whether the final response has begun or the client has disconnected. From then on,
     * nothing may be sent to an endpoint for this request.
     */
    boolean isClosed() {
        return closed;
    }

    // ---- Router actions

    /**
     * Starts an attempt. If the exchange is closed, the attempt ends at once as {@link
     * AttemptOutcome#NOT_STARTED}.
     *
     * @param peerId the peer that the endpoint tries first on a cache miss, or {@link
     *     UpstreamAttempt#NO_PEER}
     */
    void startAttempt(StartAttempt action, long peerId) {
        UpstreamAttempt attempt =
                new UpstreamAttempt(context, warming, this, attempts.size(), action, peerId);
        attempts.add(attempt);
        openAttempts++;
        if (closed) {
            attempt.complete(AttemptOutcome.NOT_STARTED, CacheStatus.NONE, 0);
        } else {
            attempt.send();
        }
    }

    /** Cancels an attempt, unless its response is already being sent to the client. */
    void cancelAttempt(int attemptNumber) {
        if (attemptNumber < attempts.size()) {
            attempts.get(attemptNumber).cancelUnlessCommitted();
        }
    }

    /**
     * Rejects the request on behalf of the router. A retry by the client is harmless, although an
     * attempt may have been executed.
     *
     * @param retryAfterNs the time after which the client may retry, in ns; 0 leaves it unspecified
     */
    void reject(long retryAfterNs) {
        respondLocally(ErrorResponse.REJECTED, Completion.REJECTED, retryAfterNs);
    }

    /**
     * Fails the request, either on behalf of the router or because routing failed. The request may
     * have been executed.
     */
    void fail() {
        respondLocally(
                openAttempts > 0 ? ErrorResponse.FAILED_WITH_OPEN_ATTEMPT : ErrorResponse.FAILED,
                Completion.FAILED,
                0);
    }

    /**
     * Rejects the request because its tenant is over a limit. The router has not received the
     * request.
     */
    void rejectByTenantLimit(TenantLimiter.Admission admission) {
        respondLocally(
                ErrorResponse.of(admission.reason()),
                Completion.RATE_LIMITED,
                admission.retryAfterNs());
    }

    private void respondLocally(
            ErrorResponse response, Completion localCompletion, long retryAfterNs) {
        if (closed) {
            return;
        }
        status = response.status();
        closed = true;
        client().send(
                        status,
                        response.fieldsAfterAdmission(context.settings().name(), retryAfterNs),
                        response.body());
        complete(localCompletion);
    }

    // ---- Response of an endpoint

    /** Begins the final response with the head of an endpoint's response. */
    void startResponse(ResponseHead head, Framing framing) {
        closed = true;
        status = head.status();
        Fields fields = Forwarding.endToEnd(head.fields());
        fields.removeIf(
                name ->
                        name.toLowerCase(Locale.ROOT)
                                .startsWith(UpstreamRequestBuilder.INTERNAL_FIELD_PREFIX));
        Forwarding.appendVia(fields, head.minorVersion(), context.settings().name());
        if (!request.match().requestClass().passThrough()) {
            // A copy is served to many clients, so the cookie of the client that it was fetched for
            // must not be sent to any of them.
            fields.remove("Set-Cookie");
        }
        if (request.caller().isPresent()) {
            // A shared cache between the dispatcher and the client does not apply the policy, so it
            // must not store the response.
            fields.set("Cache-Control", "private");
        }
        boolean bodiless =
                client().head().method().equals("HEAD")
                        || head.status() == 204
                        || head.status() == 304;
        boolean lengthKnown =
                framing.kind() == Framing.Kind.NONE || framing.kind() == Framing.Kind.FIXED;
        client().startResponse(
                        new ResponseHead(head.status(), head.reasonPhrase(), 1, fields),
                        lengthKnown && !bodiless ? framing.length() : -1);
    }

    /** Counts bytes of the response body that are sent to the client. */
    void addResponseBytes(int bytes) {
        responseBytes += bytes;
    }

    /** Ends the final response after the endpoint's complete body. */
    void endResponse() {
        client().endResponse();
        complete(Completion.SERVED);
    }

    /** Aborts the final response, so that the client can tell that the body is incomplete. */
    void abortResponse(Completion reason) {
        client().abort();
        complete(reason);
    }

    /** Handles a disconnect of the client. Has no effect after the end of the final response. */
    void onClientGone() {
        if (completion != null) {
            return;
        }
        closed = true;
        context.routingThread().submit(new ClientDisconnected(id));
        complete(Completion.CLIENT_DISCONNECTED);
        // The router does not cancel the attempt whose response was being sent to the client.
        List.copyOf(attempts).forEach(UpstreamAttempt::cancel);
    }

    // ---- End of the exchange

    private void complete(Completion newCompletion) {
        if (completion == null) {
            completion = newCompletion;
        }
        endIfComplete();
    }

    /** Called when one of the attempts has ended. */
    void onAttemptEnded() {
        openAttempts--;
        endIfComplete();
    }

    private void endIfComplete() {
        if (completion != null && openAttempts == 0 && !ended) {
            ended = true;
            endListener.accept(this);
        }
    }

    // ---- Result

    /** Returns the exchange with the client. */
    HttpExchange client() {
        return request.client();
    }

    /** Returns the status of the final response; 0 if the client disconnected before it began. */
    int status() {
        return status;
    }

    /** Returns the number of body bytes that were sent to the client. */
    long responseBytes() {
        return responseBytes;
    }

    /** Returns how the request ended, or null if it has not ended yet. */
    Completion completion() {
        return completion;
    }

    /** Returns a description of each attempt, for the access log. */
    List<String> attemptDescriptions() {
        return attempts.stream().map(UpstreamAttempt::describe).toList();
    }
}
