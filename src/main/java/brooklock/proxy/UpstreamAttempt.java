package brooklock.proxy;

import brooklock.config.Settings.RequestClassSettings;
import brooklock.http.Fields;
import brooklock.http.Framing;
import brooklock.http.RequestHead;
import brooklock.http.ResponseHead;
import brooklock.membership.ListedEndpoint;
import brooklock.net.CallFailure;
import brooklock.net.ClientCall;
import brooklock.net.ResponseHandler;
import brooklock.routing.AttemptOutcome;
import brooklock.routing.CacheStatus;
import brooklock.routing.RouterAction.StartAttempt;
import brooklock.routing.RouterEvent.AttemptCompleted;
import brooklock.routing.RouterEvent.ResponseStarted;
import brooklock.warming.LoadReport;
import java.nio.ByteBuffer;
import org.xnio.XnioExecutor;

/**
 * One attempt of a request at a host, from the module's Get to its Done. Lives on the client's I/O
 * thread.
 */
final class UpstreamAttempt implements ResponseHandler {
    final int number;
    final StartAttempt action;
    private final long peerId;
    private final ProxyExchange exchange;
    private final Dispatcher dispatcher;
    private final long startedAtNs;
    private ClientCall call;
    private XnioExecutor.Key timeoutTimer;
    private CacheStatusParser responseStatus;
    private LoadReport hostLoadReport;
    private LoadReport peerLoadReport;
    private String peerFillWord;
    private boolean committed;
    private boolean ended;
    private long clientStalledSinceNs;
    private long clientStalledNs;
    private AttemptOutcome outcome;
    private long durationNs;

    UpstreamAttempt(ProxyExchange exchange, int number, StartAttempt action, long peerId) {
        this.exchange = exchange;
        this.peerId = peerId;
        this.dispatcher = exchange.dispatcher;
        this.number = number;
        this.action = action;
        startedAtNs = dispatcher.clock.nowNs();
    }

    void send() {
        ListedEndpoint host = dispatcher.endpointRegistry.find(action.endpoint());
        ListedEndpoint source = dispatcher.endpointRegistry.find(action.fillSource());
        ListedEndpoint peer = peerId == 0 ? null : dispatcher.endpointRegistry.find(peerId);
        if (host == null || source == null || !shouldSend()) {
            complete(AttemptOutcome.NOT_STARTED, CacheStatus.NONE, 0);
            return;
        }
        timeoutTimer = exchange.client.loop().schedule(action.timeoutNs(), this::onTimeout);
        RequestHead head =
                UpstreamRequestBuilder.buildHead(
                        exchange, number, action, host, source, peer, dispatcher.settings.name());
        ClientCall startedCall =
                dispatcher
                        .clientFor(exchange.client.loop())
                        .send(host.address(), head, exchange.body, this);
        call = startedCall;
    }

    /**
     * At the last moment: a connection may have been waited for while the host or the source left,
     * or for too long.
     */
    @Override
    public boolean shouldSend() {
        return dispatcher.endpointRegistry.isReady(action.endpoint())
                && dispatcher.endpointRegistry.isReady(action.fillSource())
                && (peerId == 0 || dispatcher.endpointRegistry.isReady(peerId))
                && !exchange.isClosed()
                && dispatcher.clock.nowNs() - startedAtNs <= action.startWithinNs();
    }

    // ---- What the host answers

    @Override
    public void onHead(ResponseHead head, Framing framing, boolean whole) {
        responseStatus = CacheStatusParser.parse(head);
        if (dispatcher.warmingCoordinator() != null) {
            hostLoadReport =
                    WarmingCoordinator.parseLoadReport(
                            head.fields(), "Brooklock-Load", startedAtNs, dispatcher.clock.nowNs());
            peerLoadReport =
                    WarmingCoordinator.parseLoadReport(
                            head.fields(),
                            "Brooklock-First-Load",
                            startedAtNs,
                            dispatcher.clock.nowNs());
            peerFillWord = head.fields().get("Brooklock-First");
        }
        if (responseStatus.outcome() == AttemptOutcome.OK && exchange.isClosed()) {
            cancel();
        } else if (responseStatus.outcome() == AttemptOutcome.OK) {
            committed = true;
            if (!whole) {
                dispatcher.routingThread.submit(
                        new ResponseStarted(exchange.id, number, action.endpoint()));
            }
            exchange.startResponse(this, head, framing);
        } else if (!whole) {
            // What an error says is read by nobody: it is reported at once and its connection
            // dropped.
            ClientCall currentCall = call;
            complete(
                    responseStatus.outcome(), responseStatus.note(), responseStatus.sourceWaitNs());
            currentCall.cancel();
        }
    }

    @Override
    public boolean onBody(ByteBuffer chunk) {
        if (!committed) {
            chunk.position(chunk.limit());
            return true;
        }
        exchange.responseBytes += chunk.remaining();
        if (exchange.client.writeBody(chunk) || exchange.client.isEnded()) {
            return true;
        }
        clientStalledSinceNs = dispatcher.clock.nowNs();
        exchange.client.onWritable(
                () -> {
                    if (!ended) {
                        clientStalledNs += dispatcher.clock.nowNs() - clientStalledSinceNs;
                        clientStalledSinceNs = 0;
                        call.resume();
                    }
                });
        return false;
    }

    @Override
    public void onComplete(Fields trailers) {
        if (committed) {
            complete(AttemptOutcome.OK, responseStatus.note(), responseStatus.sourceWaitNs());
            exchange.endResponse("served");
        } else {
            complete(
                    responseStatus.outcome(), responseStatus.note(), responseStatus.sourceWaitNs());
        }
    }

    @Override
    public void onFailure(CallFailure failure, String reason) {
        complete(
                switch (failure) {
                    case NOT_CONNECTED -> AttemptOutcome.CONNECT_FAILED;
                    case NOT_SENT -> AttemptOutcome.NOT_STARTED;
                    case CONNECTION_LOST -> AttemptOutcome.RESET;
                    case MALFORMED_RESPONSE -> AttemptOutcome.ERROR;
                },
                CacheStatus.NONE,
                0);
        if (committed) {
            exchange.abortResponse("broken by host");
        }
    }

    // ---- What ends it from this side

    private void onTimeout() {
        if (ended || committed && exchange.match.requestClass().streamed()) {
            return;
        }
        ClientCall currentCall = call;
        complete(AttemptOutcome.TIMEOUT, CacheStatus.NONE, 0);
        if (currentCall != null) {
            currentCall.cancel();
        }
        if (committed) {
            exchange.abortResponse("deadline within the answer");
        }
    }

    /** The module gives up on it; what the client is being sent already is not stopped. */
    void cancelUnlessCommitted() {
        if (!committed) {
            cancel();
        }
    }

    /** Called off; its connection is not used again. */
    void cancel() {
        if (!ended) {
            ClientCall currentCall = call;
            complete(AttemptOutcome.CANCELLED, CacheStatus.NONE, 0);
            if (currentCall != null) {
                currentCall.cancel();
            }
        }
    }

    /** Reports it, once. The time in which the client took nothing is not the host's. */
    void complete(AttemptOutcome result, CacheStatus note, long sourceWaitNs) {
        if (ended) {
            return;
        }
        ended = true;
        outcome = result;
        if (timeoutTimer != null) {
            timeoutTimer.remove();
        }
        long nowNs = dispatcher.clock.nowNs();
        durationNs =
                nowNs
                        - startedAtNs
                        - clientStalledNs
                        - (clientStalledSinceNs > 0 ? nowNs - clientStalledSinceNs : 0);
        AttemptCompleted done =
                new AttemptCompleted(
                        exchange.id,
                        number,
                        action.endpoint(),
                        result,
                        note,
                        durationNs,
                        sourceWaitNs,
                        result == AttemptOutcome.OK || committed);
        if (dispatcher.warmingCoordinator() == null) {
            dispatcher.routingThread.submit(done);
        } else {
            RequestClassSettings requestClass = exchange.match.requestClass();
            boolean missedLatencyObjective =
                    durationNs
                            > requestClass.latencyObjectiveNs()
                                    + requestClass.transferStretch()
                                            * exchange.responseBytes
                                            / dispatcher.settings.fleet().transferBytesPerS()
                                            * 1e9;
            dispatcher.routingThread.submit(
                    done,
                    () ->
                            dispatcher
                                    .warmingCoordinator()
                                    .onAttemptEnded(
                                            done,
                                            exchange.match,
                                            action.cachePriority() > 0,
                                            peerId,
                                            hostLoadReport,
                                            peerFillWord,
                                            peerLoadReport,
                                            missedLatencyObjective));
        }
        exchange.onAttemptEnded(this);
    }

    /** For the log: host, source, outcome, note and ms. */
    String describe() {
        ListedEndpoint host = dispatcher.endpointRegistry.find(action.endpoint());
        ListedEndpoint source = dispatcher.endpointRegistry.find(action.fillSource());
        return (host == null ? action.endpoint() : host.name())
                + (action.fillSource() == action.endpoint()
                        ? ""
                        : "<" + (source == null ? action.fillSource() : source.name()))
                + " "
                + outcome
                + (responseStatus == null ? "" : "/" + responseStatus.note())
                + " "
                + durationNs / 1_000_000
                + "ms";
    }
}
