package brooklock.proxy;

import brooklock.config.Settings.RequestClassSettings;
import brooklock.http.Fields;
import brooklock.http.Framing;
import brooklock.http.RequestHead;
import brooklock.http.ResponseHead;
import brooklock.membership.EndpointRegistry;
import brooklock.membership.ListedEndpoint;
import brooklock.net.CallFailure;
import brooklock.net.ClientCall;
import brooklock.net.ResponseHandler;
import brooklock.routing.AttemptOutcome;
import brooklock.routing.CacheStatus;
import brooklock.routing.RouterAction.StartAttempt;
import brooklock.routing.RouterEvent.AttemptCompleted;
import brooklock.routing.RouterEvent.ResponseStarted;
import brooklock.warming.CacheWarming.PeerResult;
import brooklock.warming.LoadReport;
import java.nio.ByteBuffer;
import java.util.Optional;
import org.xnio.XnioExecutor;

/**
 * One attempt to have an endpoint serve a request, from the router's StartAttempt to the
 * AttemptCompleted event. Must be used on the client's I/O thread only.
 *
 * <p>An attempt is <em>committed</em> once its response is being sent to the client as the final
 * response. From then on the router cannot cancel it; it ends only by its timeout, the endpoint or
 * the client.
 */
final class UpstreamAttempt implements ResponseHandler {
    /** The peer identifier of an attempt whose cache misses are not filled by a peer. */
    static final long NO_PEER = 0;

    private final ProxyContext context;
    private final Optional<WarmingCoordinator> warming;
    private final ProxyExchange exchange;
    private final int number;
    private final StartAttempt action;
    private final long peerId;
    private final long startedAtNs;

    // Null until the attempt is sent.
    private ClientCall call;
    private XnioExecutor.Key timeoutTimer;
    // Null until the response's head is received.
    private UpstreamResult result;
    private Optional<LoadReport> endpointLoad = Optional.empty();
    private Optional<LoadReport> peerLoad = Optional.empty();
    private Optional<PeerResult> peerResult = Optional.empty();
    private boolean committed;
    private boolean ended;
    private long clientStalledSinceNs;
    private long clientStalledNs;
    private AttemptOutcome outcome;
    private long durationNs;

    /**
     * Creates a new attempt that is not yet sent.
     *
     * @param number the index among the request's attempts
     * @param action the router's action that starts the attempt
     * @param peerId the peer that the endpoint tries first on a cache miss, or {@link #NO_PEER}
     */
    UpstreamAttempt(
            ProxyContext context,
            Optional<WarmingCoordinator> warming,
            ProxyExchange exchange,
            int number,
            StartAttempt action,
            long peerId) {
        this.context = context;
        this.warming = warming;
        this.exchange = exchange;
        this.number = number;
        this.action = action;
        this.peerId = peerId;
        startedAtNs = context.clock().nowNs();
    }

    /**
     * Sends the attempt. If it may no longer be sent, for example because an endpoint has left the
     * list since the attempt was routed, it ends at once as {@link AttemptOutcome#NOT_STARTED}.
     */
    void send() {
        EndpointRegistry registry = context.endpointRegistry();
        ListedEndpoint endpoint = registry.find(action.endpoint());
        ListedEndpoint source = registry.find(action.fillSource());
        ListedEndpoint peer = peerId == NO_PEER ? null : registry.find(peerId);
        if (endpoint == null || source == null || !shouldSend()) {
            complete(AttemptOutcome.NOT_STARTED, CacheStatus.NONE, 0);
            return;
        }
        timeoutTimer = exchange.client().loop().schedule(action.timeoutNs(), this::onTimeout);
        RequestHead head =
                UpstreamRequestBuilder.buildHead(
                        exchange,
                        number,
                        action,
                        new UpstreamRequestBuilder.Target(endpoint, source, peer),
                        context.settings().name());
        call =
                context.upstreamClients()
                        .clientFor(exchange.client().loop())
                        .send(endpoint.address(), head, exchange.body, this);
    }

    /**
     * Returns whether the attempt may still be sent. Called directly before the first byte is
     * written: while the attempt waited for a connection, an endpoint may have left the list, or
     * the wait may have been too long.
     *
     * <p>A purge does not affect an attempt that waits for a connection: it is sent with the
     * maximum age that was allowed when it was routed. Only attempts that are routed after the
     * purge require a newer copy. The platform's dispatcher differs: it returns waiting attempts to
     * the router.
     */
    @Override
    public boolean shouldSend() {
        EndpointRegistry registry = context.endpointRegistry();
        return registry.isReady(action.endpoint())
                && registry.isReady(action.fillSource())
                && (peerId == NO_PEER || registry.isReady(peerId))
                && !exchange.isClosed()
                && context.clock().nowNs() - startedAtNs <= action.startWithinNs();
    }

    // ---- Response of the endpoint

    @Override
    public void onHead(ResponseHead head, Framing framing, boolean whole) {
        result = CacheStatusParser.parse(head);
        if (warming.isPresent()) {
            readLoad(head.fields());
        }
        if (result.outcome() == AttemptOutcome.OK && exchange.isClosed()) {
            cancel();
        } else if (result.outcome() == AttemptOutcome.OK) {
            committed = true;
            if (!whole) {
                context.routingThread()
                        .submit(new ResponseStarted(exchange.id, number, action.endpoint()));
            }
            exchange.startResponse(head, framing);
        } else if (!whole) {
            // The body of an error response is not used, so the attempt ends now and its connection
            // is closed.
            ClientCall currentCall = call;
            completeWithResult();
            currentCall.cancel();
        }
    }

    private void readLoad(Fields fields) {
        long nowNs = context.clock().nowNs();
        endpointLoad = LoadReportParser.ofEndpoint(fields, startedAtNs, nowNs);
        peerLoad = LoadReportParser.ofPeer(fields, startedAtNs, nowNs);
        peerResult = LoadReportParser.peerResult(fields);
    }

    @Override
    public boolean onBody(ByteBuffer chunk) {
        if (!committed) {
            chunk.position(chunk.limit());
            return true;
        }
        exchange.addResponseBytes(chunk.remaining());
        if (exchange.client().writeBody(chunk) || exchange.client().isEnded()) {
            return true;
        }
        clientStalledSinceNs = context.clock().nowNs();
        exchange.client().onWritable(this::onClientWritable);
        return false;
    }

    private void onClientWritable() {
        if (!ended) {
            clientStalledNs += context.clock().nowNs() - clientStalledSinceNs;
            clientStalledSinceNs = 0;
            call.resume();
        }
    }

    @Override
    public void onComplete(Fields trailers) {
        completeWithResult();
        if (committed) {
            exchange.endResponse();
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
            exchange.abortResponse(Completion.ABORTED_BY_ENDPOINT);
        }
    }

    // ---- Timeout and cancellation

    private void onTimeout() {
        boolean streamed = exchange.request.match().requestClass().streamed();
        if (ended || (committed && streamed)) {
            return;
        }
        completeAndCancelCall(AttemptOutcome.TIMEOUT);
        if (committed) {
            exchange.abortResponse(Completion.TIMEOUT_IN_BODY);
        }
    }

    /**
     * Cancels the attempt on behalf of the router, unless its response is already being sent to the
     * client.
     */
    void cancelUnlessCommitted() {
        if (!committed) {
            cancel();
        }
    }

    /** Cancels the attempt and closes its connection. Has no effect if the attempt has ended. */
    void cancel() {
        if (!ended) {
            completeAndCancelCall(AttemptOutcome.CANCELLED);
        }
    }

    private void completeAndCancelCall(AttemptOutcome attemptOutcome) {
        ClientCall currentCall = call;
        complete(attemptOutcome, CacheStatus.NONE, 0);
        if (currentCall != null) {
            currentCall.cancel();
        }
    }

    private void completeWithResult() {
        complete(result.outcome(), result.cacheStatus(), result.fillDurationNs());
    }

    /**
     * Ends the attempt and submits the event to the router. Has no effect if the attempt has ended.
     * The reported duration excludes the time in which the client did not read, because a slow
     * client must not make the endpoint appear slow.
     *
     * @param fillDurationNs the time for which the endpoint waited for its fill source, in ns
     */
    void complete(AttemptOutcome attemptOutcome, CacheStatus cacheStatus, long fillDurationNs) {
        if (ended) {
            return;
        }
        ended = true;
        outcome = attemptOutcome;
        if (timeoutTimer != null) {
            timeoutTimer.remove();
        }
        long nowNs = context.clock().nowNs();
        long stalledNs =
                clientStalledNs + (clientStalledSinceNs > 0 ? nowNs - clientStalledSinceNs : 0);
        durationNs = nowNs - startedAtNs - stalledNs;
        AttemptCompleted event =
                new AttemptCompleted(
                        exchange.id,
                        number,
                        action.endpoint(),
                        attemptOutcome,
                        cacheStatus,
                        durationNs,
                        fillDurationNs,
                        attemptOutcome == AttemptOutcome.OK || committed);
        if (warming.isPresent()) {
            AttemptObservation observation = observe(event);
            context.routingThread()
                    .submit(event, () -> warming.get().onAttemptCompleted(observation));
        } else {
            context.routingThread().submit(event);
        }
        exchange.onAttemptEnded();
    }

    private AttemptObservation observe(AttemptCompleted event) {
        RequestClassSettings requestClass = exchange.request.match().requestClass();
        boolean missedLatencyObjective =
                durationNs
                        > requestClass.latencyObjectiveNs()
                                + requestClass.latencyObjectiveWorkFactor()
                                        * exchange.responseBytes()
                                        / context.settings().fleet().transferBytesPerS()
                                        * 1e9;
        return new AttemptObservation(
                event,
                exchange.request.match(),
                action.cachePriority() > 0,
                missedLatencyObjective,
                endpointLoad,
                peerId,
                peerResult,
                peerLoad);
    }

    /**
     * Returns the endpoint, fill source, outcome, cache status and duration, for the access log.
     */
    String describe() {
        String source = action.fillsOnMiss() ? "<" + nameOf(action.fillSource()) : "";
        String cacheStatus =
                result == null ? "" : "/" + TraceVocabulary.wordOf(result.cacheStatus());
        return nameOf(action.endpoint())
                + source
                + " "
                + TraceVocabulary.wordOf(outcome)
                + cacheStatus
                + " "
                + durationNs / 1_000_000
                + "ms";
    }

    private String nameOf(long endpointId) {
        ListedEndpoint endpoint = context.endpointRegistry().find(endpointId);
        return endpoint == null ? Long.toString(endpointId) : endpoint.name();
    }
}
