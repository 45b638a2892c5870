package brooklock.platform;

import brooklock.net.IoLoop;
import brooklock.proxy.MonotonicClock;
import brooklock.proxy.RoutingStrategy;
import brooklock.routing.AttemptOutcome;
import brooklock.routing.RouterAction;
import brooklock.routing.RouterEvent;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Executes requests: passes events to the router one at a time, executes the router's actions in
 * order, and enforces the time-outs of attempts. Every attempt is reported to the router exactly
 * once, and every request gets at most one final response. Not thread-safe; owned by the I/O
 * thread.
 *
 * <p>The HTTP dispatcher has a separate routing thread with a similar loop, because it receives
 * events from other threads over a bounded queue and records a trace. Neither is needed here.
 */
final class RequestExecutor {
    private static final Logger LOG = LoggerFactory.getLogger(RequestExecutor.class);
    // Number of ids of sent requests that are remembered at least: those of some minutes.
    private static final int REMEMBERED_IDS = 32_768;

    private final DispatcherStats stats = new DispatcherStats();
    private final PendingClientRequestTable requests;
    private final RoutingStrategy routingStrategy;
    private final MonotonicClock clock;
    private final TimerQueue timers;
    private final AttemptTransport transport;
    // The ids of the requests that have been sent to an endpoint and may not be executed twice.
    private final RecentIdSet sentIds = new RecentIdSet(REMEMBERED_IDS);
    private final IdempotencyKeyLog sentKeys = new IdempotencyKeyLog();
    private final ArrayDeque<RouterEvent> queuedEvents = new ArrayDeque<>();
    private final List<RouterAction> actions = new ArrayList<>();
    private boolean processingEvents;

    /**
     * Creates an executor without requests.
     *
     * @param routingStrategy the router, which makes the decisions
     * @param clock the router's clock
     * @param loop the I/O thread that owns the executor
     * @param transport sends attempts
     * @param memory bounds the memory of pending requests
     */
    RequestExecutor(
            RoutingStrategy routingStrategy,
            MonotonicClock clock,
            IoLoop loop,
            AttemptTransport transport,
            MemoryBudget memory) {
        requests = new PendingClientRequestTable(memory.requests());
        this.routingStrategy = routingStrategy;
        this.clock = clock;
        this.transport = transport;
        timers = new TimerQueue(clock, loop, stats);
    }

    /** Starts the router and executes its first actions. */
    void start() {
        routingStrategy.start(clock.nowNs(), actions);
        executeActions();
        timers.arm();
    }

    DispatcherStats stats() {
        return stats;
    }

    /** Returns the number of requests without a final response. */
    int openRequests() {
        return requests.openCount();
    }

    /** Returns the time on the router's clock, ns. */
    long nowNs() {
        return clock.nowNs();
    }

    /**
     * Returns whether the id of a request is in use: another request with it has no final response
     * yet, or has been sent to an endpoint and may not be executed twice. The latter is not known
     * for all time.
     */
    boolean isIdInUse(ClientRequest clientRequest) {
        return requests.isOpen(clientRequest.id())
                || (!clientRequest.rules().idempotent() && sentIds.contains(clientRequest.id()));
    }

    /** Returns whether the request can be accepted; otherwise the caller must reject it. */
    boolean canAccept(ClientRequest clientRequest) {
        return requests.canAccept(clientRequest);
    }

    /**
     * Accepts a request. Must be called only if {@link #canAccept} returns true and the id of the
     * request is not {@linkplain #isIdInUse in use}. The caller must call {@link #route}
     * afterwards.
     *
     * @param clientRequest the request as the client sent it
     * @param connection the connection to which the response is written
     * @param messageId the id of the call that the response answers
     */
    PendingClientRequest accept(
            ClientRequest clientRequest, ClientConnection connection, long messageId) {
        stats.recordAccepted();
        return requests.add(clientRequest, connection, messageId, clock.nowNs());
    }

    /**
     * Passes an accepted request to the router. The response may be sent before this method
     * returns.
     */
    void route(PendingClientRequest request) {
        ClientRequest clientRequest = request.clientRequest();
        RouterEvent.RequestReceived received =
                new RouterEvent.RequestReceived(
                        request.routingId(),
                        clientRequest.rules().index(),
                        clientRequest.objectId(),
                        clientRequest.part(),
                        clientRequest.group(),
                        clientRequest.sizeKb(),
                        clientRequest.clientRetry(),
                        request.deadlineNs());
        long keySentAtNs = keyFirstSentAtNs(clientRequest);
        submit(
                keySentAtNs == IdempotencyKeyLog.NEVER
                        ? received
                        : new RouterEvent.KeyedRetryReceived(received, keySentAtNs));
    }

    private long keyFirstSentAtNs(ClientRequest clientRequest) {
        return clientRequest.idempotencyKey() == null
                ? IdempotencyKeyLog.NEVER
                : sentKeys.firstSentAtNs(
                        clientRequest.idempotencyKey(),
                        clientRequest.rules().idempotencyWindowNs(),
                        clock.nowNs());
    }

    /** Called when the request frame of an attempt is about to be written. */
    void onAttemptStarted(EndpointAttempt attempt) {
        attempt.setStartedAtNs(clock.nowNs());
        ClientRequest clientRequest = attempt.clientRequest();
        if (!clientRequest.rules().idempotent()) {
            sentIds.add(clientRequest.id());
        }
        if (clientRequest.idempotencyKey() != null) {
            // The window begins with the decision, as in the router: endpoints get the attempt
            // later.
            sentKeys.record(clientRequest.idempotencyKey(), attempt.decidedAtNs());
            attempt.request().onKeySent(attempt.decidedAtNs());
        }
    }

    // An attempt that is proved not to have been executed leaves no key behind. Otherwise the
    // window
    // of a request that was rejected by an overloaded endpoint would shorten that of its retry.
    private void forgetKeyIfNotExecuted(PendingClientRequest request) {
        if (request.isFinished()
                && !request.mayHaveExecuted()
                && request.keySentAtNs() != IdempotencyKeyLog.NEVER) {
            sentKeys.forget(request.clientRequest().idempotencyKey(), request.keySentAtNs());
        }
    }

    /** Completes a request whose client has disconnected or cancelled it. No response is sent. */
    void cancelByClient(PendingClientRequest request) {
        if (!request.isCompleted()) {
            requests.complete(request);
            stats.recordCancelled();
            submit(new RouterEvent.ClientDisconnected(request.routingId()));
        }
    }

    /**
     * Ends an attempt and reports its result to the router. The first result with outcome {@link
     * AttemptOutcome#OK} is sent to the client as the final response. Does nothing if the attempt
     * has already ended.
     */
    void completeAttempt(EndpointAttempt attempt, AttemptResult result) {
        if (attempt.hasEnded()) {
            return;
        }
        attempt.end();
        PendingClientRequest request = attempt.request();
        request.onAttemptEnded(result.outcome());
        stats.recordAttemptEnded(result.outcome());
        if (result.outcome() == AttemptOutcome.OK && !request.isCompleted()) {
            requests.complete(request);
            stats.recordServed(clock.nowNs() - request.acceptedAtNs());
            request.connection()
                    .respond(
                            request,
                            result.notModified()
                                    ? RpcEncoder.notModified(request.messageId())
                                    : RpcEncoder.served(request.messageId(), result.body()));
        }
        submit(
                new RouterEvent.AttemptCompleted(
                        request.routingId(),
                        attempt.index(),
                        attempt.decision().endpoint(),
                        result.outcome(),
                        result.cacheStatus(),
                        clock.nowNs() - attempt.startedAtNs(),
                        result.fillDurationNs(),
                        request.isCompleted()));
        requests.removeIfFinished(request);
        forgetKeyIfNotExecuted(request);
    }

    /**
     * Passes an event to the router and executes the resulting actions. An event that is submitted
     * while the actions of another event are executed is processed after them.
     */
    void submit(RouterEvent event) {
        queuedEvents.add(event);
        if (processingEvents) {
            return;
        }
        processingEvents = true;
        try {
            for (RouterEvent next = queuedEvents.poll(); next != null; next = queuedEvents.poll()) {
                processEvent(next);
            }
        } finally {
            processingEvents = false;
        }
        timers.arm();
    }

    private void processEvent(RouterEvent event) {
        try {
            routingStrategy.onEvent(clock.nowNs(), event, actions);
        } catch (RuntimeException fault) {
            // Without this handler an exception in one decision would stop the I/O thread's work
            // for all other requests, and the failed request would stay unanswered until its
            // deadline.
            LOG.error("routing failed: {}", event, fault);
            actions.clear();
            if (event instanceof RouterEvent.RequestReceived received) {
                actions.add(new RouterAction.FailRequest(received.id()));
            } else if (event instanceof RouterEvent.KeyedRetryReceived retry) {
                actions.add(new RouterAction.FailRequest(retry.request().id()));
            }
        }
        executeActions();
    }

    private void executeActions() {
        for (int i = 0; i < actions.size(); i++) {
            execute(actions.get(i));
        }
        actions.clear();
    }

    private void execute(RouterAction action) {
        if (action instanceof RouterAction.StartAttempt start) {
            startAttempt(start);
        } else if (action instanceof RouterAction.RejectRequest reject) {
            rejectRequest(reject);
        } else if (action instanceof RouterAction.FailRequest fail) {
            failRequest(fail);
        } else if (action instanceof RouterAction.CancelAttempt cancel) {
            cancelAttempt(cancel);
        } else if (action instanceof RouterAction.SetTimer timer) {
            timers.schedule(timer.atNs(), () -> submit(new RouterEvent.TimerFired(timer.token())));
        }
    }

    private void rejectRequest(RouterAction.RejectRequest reject) {
        PendingClientRequest request = requests.getOpen(reject.id());
        if (request != null) {
            requests.complete(request);
            stats.recordRejected();
            request.connection()
                    .respond(
                            request,
                            RpcEncoder.rejected(request.messageId(), reject.retryAfterNs()));
        }
    }

    private void failRequest(RouterAction.FailRequest fail) {
        PendingClientRequest request = requests.getOpen(fail.id());
        if (request != null) {
            requests.complete(request);
            stats.recordFailed();
            request.connection()
                    .respond(request, RpcEncoder.error(request.messageId(), RpcError.FAILED));
        }
    }

    private void cancelAttempt(RouterAction.CancelAttempt cancel) {
        PendingClientRequest request = requests.get(cancel.id());
        EndpointAttempt attempt = request == null ? null : request.attempt(cancel.attempt());
        if (attempt != null) {
            abortAttempt(attempt, AttemptOutcome.CANCELLED);
        }
    }

    private void startAttempt(RouterAction.StartAttempt decision) {
        PendingClientRequest request = requests.get(decision.id());
        if (request == null) {
            return;
        }
        EndpointAttempt attempt = request.addAttempt(decision, clock.nowNs());
        long decidedAtNs = attempt.decidedAtNs();
        if (request.isCompleted() || decidedAtNs >= request.deadlineNs()) {
            completeAttempt(attempt, AttemptResult.withoutResponse(AttemptOutcome.NOT_STARTED));
            return;
        }
        attempt.addTimer(
                timers.schedule(
                        Math.min(request.deadlineNs(), decidedAtNs + decision.timeoutNs()),
                        () -> abortAttempt(attempt, AttemptOutcome.TIMEOUT)));
        if (decision.startWithinNs() < decision.timeoutNs()) {
            attempt.addTimer(
                    timers.schedule(
                            decidedAtNs + decision.startWithinNs(),
                            () -> abortUnlessStarted(attempt)));
        }
        transport.send(attempt);
    }

    private void abortUnlessStarted(EndpointAttempt attempt) {
        if (attempt.state() == EndpointAttempt.State.QUEUED) {
            abortAttempt(attempt, AttemptOutcome.NOT_STARTED);
        }
    }

    // An attempt that is still queued was never sent, so it ends as NOT_STARTED regardless of why
    // it is aborted; the specified outcome applies only to an attempt in flight.
    private void abortAttempt(EndpointAttempt attempt, AttemptOutcome outcomeInFlight) {
        if (attempt.state() == EndpointAttempt.State.QUEUED) {
            completeAttempt(attempt, AttemptResult.withoutResponse(AttemptOutcome.NOT_STARTED));
            transport.dropQueued(attempt);
        } else if (attempt.state() == EndpointAttempt.State.IN_FLIGHT) {
            EndpointConnection connection = attempt.connection();
            completeAttempt(attempt, AttemptResult.withoutResponse(outcomeInFlight));
            connection.cancel(attempt);
        }
    }
}
