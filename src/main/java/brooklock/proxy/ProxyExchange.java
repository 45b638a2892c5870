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
 * One client's request until its final response and until the last of its attempts has ended.
 *
 * <p>All of it but {@link #heldByTenant} belongs to the client's I/O thread; once it has ended the
 * routing thread reads what it came to. That is what makes "exactly one final response" a plain
 * field: whichever of the router's action, an endpoint's response and the client's leaving comes
 * first closes the request, and the others find it closed.
 */
final class ProxyExchange {
    final long id;
    final RoutedRequest request;
    final byte[] body;

    /** Whether it holds a place within its tenant's limits; the routing thread's. */
    boolean heldByTenant;

    private final ProxyContext context;
    private final Optional<WarmingCoordinator> warming;
    private final Consumer<ProxyExchange> endListener;
    private final List<UpstreamAttempt> attempts = new ArrayList<>(2);
    private int openAttempts;
    private boolean closed;
    private boolean ended;
    private int status;
    private long responseBytes;
    // Null until it is complete.
    private Completion completion;

    /**
     * Makes one without an attempt.
     *
     * @param id not used by another request of this dispatcher
     * @param body the client's whole body, empty for none
     * @param endListener called once, on the client's I/O thread, when the final response has been
     *     sent or the client has left, and no attempt is open
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

    /** Returns the event that brings it to the router. */
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
     * Returns whether its final response has begun or the client has left: nothing may be sent to
     * an endpoint for it from then on.
     */
    boolean isClosed() {
        return closed;
    }

    // ---- The router's actions

    /**
     * Starts an attempt.
     *
     * @param peerId the peer that a cache miss is filled from first, or {@link
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

    /** Cancels an attempt, unless its response is already on its way to the client. */
    void cancelAttempt(int attemptNumber) {
        if (attemptNumber < attempts.size()) {
            attempts.get(attemptNumber).cancelUnlessCommitted();
        }
    }

    /**
     * Rejects it for the router: a retry by the client is harmless, though an attempt may have been
     * executed.
     *
     * @param retryAfterNs when the client may retry, ns; 0 says nothing
     */
    void reject(long retryAfterNs) {
        respondLocally(ErrorResponse.REJECTED, Completion.REJECTED, retryAfterNs);
    }

    /** Fails it for the router or because routing failed: it may have been executed. */
    void fail() {
        respondLocally(
                openAttempts > 0 ? ErrorResponse.FAILED_WITH_OPEN_ATTEMPT : ErrorResponse.FAILED,
                Completion.FAILED,
                0);
    }

    /** Rejects it because its tenant is over a limit; the router has not seen it. */
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

    // ---- An endpoint's response

    /** Begins the final response with an endpoint's head. */
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
            // A copy is served to many clients: a cookie for the one it was fetched for goes to
            // none.
            fields.remove("Set-Cookie");
        }
        if (request.caller().isPresent()) {
            // A shared cache between here and the client knows nothing of the policy.
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

    /** Counts bytes of an endpoint's body that go to the client. */
    void addResponseBytes(int bytes) {
        responseBytes += bytes;
    }

    /** Ends the final response: the endpoint's body is whole. */
    void endResponse() {
        client().endResponse();
        complete(Completion.SERVED);
    }

    /** Aborts the final response, so that the client does not take the body for whole. */
    void abortResponse(Completion abortedBy) {
        client().abort();
        complete(abortedBy);
    }

    /** The client has left before it had the whole response. */
    void onClientGone() {
        if (completion != null) {
            return;
        }
        closed = true;
        context.routingThread().submit(new ClientDisconnected(id));
        complete(Completion.CLIENT_DISCONNECTED);
        // The router does not cancel the attempt whose response the client was getting.
        List.copyOf(attempts).forEach(UpstreamAttempt::cancel);
    }

    // ---- Its end

    private void complete(Completion how) {
        if (completion == null) {
            completion = how;
        }
        endIfComplete();
    }

    /** One of its attempts has ended. */
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

    // ---- What it came to

    /** Returns the exchange with the client. */
    HttpExchange client() {
        return request.client();
    }

    /** Returns the status of the final response; 0 where the client left before it. */
    int status() {
        return status;
    }

    /** Returns the bytes of the response's body that went to the client. */
    long responseBytes() {
        return responseBytes;
    }

    /** Returns how it ended; to be called once it has. */
    Completion completion() {
        return completion;
    }

    /** Returns a description of each attempt, for the access log. */
    List<String> attemptDescriptions() {
        return attempts.stream().map(UpstreamAttempt::describe).toList();
    }
}
