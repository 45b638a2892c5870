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
 * One attempt of a request at an endpoint, from the router's StartAttempt to its AttemptCompleted.
 * All of it belongs to the client's I/O thread.
 *
 * <p>An attempt is <em>committed</em> once its response is the client's final response. From then
 * on the router can't cancel it; only its timeout, the endpoint or the client ends it.
 */
final class UpstreamAttempt implements ResponseHandler {
    /** Stands for the identifier of a peer where no peer is to fill a miss. */
    static final long NO_PEER = 0;

    private final ProxyContext context;
    private final Optional<WarmingCoordinator> warming;
    private final ProxyExchange exchange;
    private final int number;
    private final StartAttempt action;
    private final long peerId;
    private final long startedAtNs;

    // Null until it is sent.
    private ClientCall call;
    private XnioExecutor.Key timeoutTimer;
    // Null until the head of the response has come.
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
     * Makes one that is not sent.
     *
     * @param number index among the request's attempts
     * @param action what the router wants
     * @param peerId the peer that a cache miss is filled from first, or {@link #NO_PEER}
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

    /** Sends it; where the list of endpoints has changed since it was routed it ends at once. */
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
     * Asked right before the first byte is written: while the attempt waited for a connection an
     * endpoint may have left the list, or the wait may have been too long.
     *
     * <p>A purge does not recall an attempt that waits: it goes out with the oldest age that was
     * allowed when it was routed. Only attempts that are routed after a purge demand a newer copy.
     * The platform's dispatcher differs: it gives waiting attempts back to the router.
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

    // ---- The endpoint's response

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
            // Nobody reads the body of an error: the attempt ends now and its connection is closed.
            ClientCall currentCall = call;
            completeByResult();
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
        completeByResult();
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

    // ---- What ends it from this side

    private void onTimeout() {
        boolean streamed = exchange.request.match().requestClass().streamed();
        if (ended || (committed && streamed)) {
            return;
        }
        endCall(AttemptOutcome.TIMEOUT);
        if (committed) {
            exchange.abortResponse(Completion.TIMEOUT_IN_BODY);
        }
    }

    /** Cancels it for the router, unless its response is already on its way to the client. */
    void cancelUnlessCommitted() {
        if (!committed) {
            cancel();
        }
    }

    /** Cancels it; its connection is closed. */
    void cancel() {
        if (!ended) {
            endCall(AttemptOutcome.CANCELLED);
        }
    }

    private void endCall(AttemptOutcome how) {
        ClientCall currentCall = call;
        complete(how, CacheStatus.NONE, 0);
        if (currentCall != null) {
            currentCall.cancel();
        }
    }

    private void completeByResult() {
        complete(result.outcome(), result.cacheStatus(), result.fillDurationNs());
    }

    /**
     * Ends it and tells the router, once. The time in which the client read nothing does not count:
     * a slow client must not make an endpoint look slow.
     *
     * @param fillDurationNs how long the endpoint waited for its fill source, ns
     */
    void complete(AttemptOutcome how, CacheStatus cacheStatus, long fillDurationNs) {
        if (ended) {
            return;
        }
        ended = true;
        outcome = how;
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
                        how,
                        cacheStatus,
                        durationNs,
                        fillDurationNs,
                        how == AttemptOutcome.OK || committed);
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

    /** Returns endpoint, fill source, outcome, cache status and duration, for the access log. */
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
