package brooklock.proxy;

import brooklock.authorization.TenantLimiter;
import brooklock.http.Fields;
import brooklock.http.Forwarding;
import brooklock.http.Framing;
import brooklock.http.ResponseHead;
import brooklock.net.HttpExchange;
import brooklock.routing.AttemptOutcome;
import brooklock.routing.CacheStatus;
import brooklock.routing.RouterAction.RejectRequest;
import brooklock.routing.RouterAction.StartAttempt;
import brooklock.routing.RouterEvent.ClientDisconnected;
import brooklock.routing.RouterEvent.RequestReceived;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * One client's request until its final answer and until the last of its attempts has ended. Lives
 * on the client's I/O thread, which is what makes "exactly one answer" a plain field: whatever the
 * module says later finds it closed.
 */
final class ProxyExchange {
    final Dispatcher dispatcher;
    final long id;
    final HttpExchange client;
    final RouteTable.Match match;
    final RequestAuthorizer.AuthorizationResult authorization;
    final byte[] body;
    final long acceptedAtNs;
    final long deadlineNs;
    long responseBytes;

    /** Whether it counts among its tenant's; the decision thread's own. */
    boolean admitted;

    private final List<UpstreamAttempt> attempts = new ArrayList<>(2);
    private int openAttempts;
    private boolean closed;
    private boolean ended;
    private int status;
    private String completion;

    ProxyExchange(
            Dispatcher dispatcher,
            long id,
            HttpExchange client,
            RouteTable.Match match,
            RequestAuthorizer.AuthorizationResult authorization,
            byte[] body,
            long acceptedAtNs,
            long deadlineNs) {
        this.dispatcher = dispatcher;
        this.id = id;
        this.client = client;
        this.match = match;
        this.authorization = authorization;
        this.body = body;
        this.acceptedAtNs = acceptedAtNs;
        this.deadlineNs = deadlineNs;
    }

    /** The event that tells the module of it. */
    RequestReceived toRequestEvent() {
        return new RequestReceived(
                id,
                match.classIndex(),
                match.object(),
                match.part(),
                match.group(),
                0,
                false,
                deadlineNs);
    }

    /**
     * Whether its final answer has begun, or the client has left: nothing may be sent for it from
     * then on.
     */
    boolean isClosed() {
        return closed;
    }

    // ---- What the module says

    /**
     * Sends an attempt; {@code first} is the neighbour that a miss is to be filled from first, 0
     * for none.
     */
    void startAttempt(StartAttempt action, long peerId) {
        UpstreamAttempt upstreamAttempt =
                new UpstreamAttempt(this, attempts.size(), action, peerId);
        attempts.add(upstreamAttempt);
        openAttempts++;
        if (closed) {
            upstreamAttempt.complete(AttemptOutcome.NOT_STARTED, CacheStatus.NONE, 0);
        } else {
            upstreamAttempt.send();
        }
    }

    void cancelAttempt(int attemptNumber) {
        if (attemptNumber < attempts.size()) {
            attempts.get(attemptNumber).cancelUnlessCommitted();
        }
    }

    void reject(RejectRequest action) {
        Fields fields = new Fields();
        if (action.retryAfterNs() > 0) {
            fields.add(
                    "Retry-After",
                    Long.toString((action.retryAfterNs() + 999_999_999L) / 1_000_000_000L));
            fields.add("Brooklock-Retry-After", Long.toString(action.retryAfterNs() / 1000));
        }
        respondLocally(
                503,
                "refused",
                "destination_unavailable",
                "not done; trying again is harmless",
                fields);
    }

    void fail() {
        boolean attemptOpen = openAttempts > 0;
        respondLocally(
                attemptOpen ? 504 : 502,
                "failed",
                attemptOpen ? "http_response_timeout" : "connection_terminated",
                "failed; it may have been done",
                new Fields());
    }

    /** Its tenant has had its part: told apart from what the module refuses. */
    void rejectByTenantLimit(TenantLimiter.Admission verdict) {
        Fields fields =
                new Fields()
                        .add(
                                "Retry-After",
                                Long.toString(
                                        Math.max(
                                                1,
                                                (verdict.retryAfterNs() + 999_999_999L)
                                                        / 1_000_000_000L)))
                        .add("Brooklock-Retry-After", Long.toString(verdict.retryAfterNs() / 1000));
        respondLocally(
                verdict.reason().httpStatus,
                "held back",
                "http_request_denied; details=\"tenant "
                        + verdict.reason().name().toLowerCase(java.util.Locale.ROOT)
                        + "\"",
                "not done; the tenant's part is used up",
                fields);
    }

    private void respondLocally(
            int statusCode, String completionWord, String error, String text, Fields fields) {
        if (closed) {
            return;
        }
        fields.add("Proxy-Status", dispatcher.settings.name() + "; error=" + error);
        fields.add("Cache-Control", "no-store").add("Content-Type", "text/plain; charset=utf-8");
        status = statusCode;
        closed = true;
        client.send(statusCode, fields, (text + "\n").getBytes(StandardCharsets.UTF_8));
        complete(completionWord);
    }

    // ---- The answer of a host

    /** The answer of an attempt is the client's from here on. */
    void startResponse(UpstreamAttempt upstreamAttempt, ResponseHead head, Framing framing) {
        closed = true;
        status = head.status();
        Fields fields = Forwarding.endToEnd(head.fields());
        fields.removeIf(
                n ->
                        n.toLowerCase(java.util.Locale.ROOT)
                                .startsWith(UpstreamRequestBuilder.INTERNAL_FIELD_PREFIX));
        Forwarding.appendVia(fields, head.minorVersion(), dispatcher.settings.name());
        if (!match.requestClass().passThrough()) {
            // A copy serves many: what was meant for the one it was fetched for goes to none.
            fields.remove("Set-Cookie");
        }
        if (authorization != null) {
            fields.set("Cache-Control", "private");
        }
        boolean bodiless =
                client.head().method().equals("HEAD")
                        || head.status() == 204
                        || head.status() == 304;
        boolean lengthKnown =
                framing.kind() == Framing.Kind.NONE || framing.kind() == Framing.Kind.FIXED;
        client.startResponse(
                new ResponseHead(head.status(), head.reasonPhrase(), 1, fields),
                lengthKnown && !bodiless ? framing.length() : -1);
    }

    void endResponse(String completionWord) {
        client.endResponse();
        complete(completionWord);
    }

    /** The answer cannot be brought to its end; the client is shown so. */
    void abortResponse(String completionWord) {
        client.abort();
        complete(completionWord);
    }

    /** The client left before its answer had gone out whole. */
    void onClientGone() {
        if (completion != null) {
            return;
        }
        closed = true;
        dispatcher.routingThread.submit(new ClientDisconnected(id));
        complete("client left");
        // What the module does not call off, since it was the client's already, is called off here.
        List.copyOf(attempts).forEach(UpstreamAttempt::cancel);
    }

    // ---- Its end

    private void complete(String completionWord) {
        completion = completion == null ? completionWord : completion;
        endIfComplete();
    }

    void onAttemptEnded(UpstreamAttempt upstreamAttempt) {
        openAttempts--;
        endIfComplete();
    }

    private void endIfComplete() {
        if (completion != null && openAttempts == 0 && !ended) {
            ended = true;
            dispatcher.onExchangeEnded(this);
        }
    }

    // ---- For the log

    int status() {
        return status;
    }

    String completion() {
        return completion;
    }

    List<String> attemptDescriptions() {
        return attempts.stream().map(UpstreamAttempt::describe).toList();
    }
}
