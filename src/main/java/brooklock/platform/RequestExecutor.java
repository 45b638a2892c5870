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
 * Runs requests: hands events to the router one after another, carries out its actions in their
 * order and keeps the time-outs of attempts. Every attempt is reported to the router exactly once,
 * and every open request gets at most one final response. Owned by the I/O thread.
 *
 * <p>The HTTP dispatcher's routing thread has a similar loop of its own: it takes events from other
 * threads over a bounded queue and records a trace, neither of which exists here.
 */
final class RequestExecutor {
    private static final Logger LOG = LoggerFactory.getLogger(RequestExecutor.class);

    private final DispatcherStats stats = new DispatcherStats();
    private final PendingClientRequestTable requests = new PendingClientRequestTable();
    private final RoutingStrategy routingStrategy;
    private final MonotonicClock clock;
    private final TimerQueue timers;
    private final AttemptTransport transport;
    private final ArrayDeque<RouterEvent> queuedEvents = new ArrayDeque<>();
    private final List<RouterAction> actions = new ArrayList<>();
    private boolean deciding;

    /**
     * Creates an executor without requests.
     *
     * @param routingStrategy makes the decisions
     * @param clock the router's clock
     * @param loop the I/O thread that owns the executor
     * @param transport sends attempts
     */
    RequestExecutor(
            RoutingStrategy routingStrategy,
            MonotonicClock clock,
            IoLoop loop,
            AttemptTransport transport) {
        this.routingStrategy = routingStrategy;
        this.clock = clock;
        this.transport = transport;
        timers = new TimerQueue(clock, loop, stats);
    }

    /** Starts the router. */
    void start() {
        routingStrategy.start(clock.nowNs(), actions);
        executeActions();
        timers.arm();
    }

    DispatcherStats stats() {
        return stats;
    }

    /** Sets how many bytes the bodies of all pending requests may take together. */
    void setMaxBodyBytes(long bytes) {
        requests.setMaxBodyBytes(bytes);
    }

    /** Returns how many requests have no final response yet. */
    int openRequests() {
        return requests.openCount();
    }

    /** Returns the time on the router's clock, ns. */
    long nowNs() {
        return clock.nowNs();
    }

    /** Returns whether a client's request of this id has no final response yet. */
    boolean isOpen(long clientId) {
        return requests.isOpen(clientId);
    }

    /** Returns whether one more request may be accepted; else it has to be rejected at once. */
    boolean hasRoomFor(ClientRequest clientRequest) {
        return requests.hasRoomFor(clientRequest);
    }

    /**
     * Accepts a request for which there is {@linkplain #hasRoomFor room} and whose id is not
     * {@linkplain #isOpen open}. Nothing happens to it before it is {@linkplain #route routed}.
     *
     * @param clientRequest what the client sent
     * @param connection where the response goes
     * @param messageId the call that the response answers
     */
    PendingClientRequest accept(
            ClientRequest clientRequest, ClientConnection connection, long messageId) {
        stats.accepted();
        return requests.add(clientRequest, connection, messageId, clock.nowNs());
    }

    /** Hands an accepted request to the router; its response may come before this returns. */
    void route(PendingClientRequest request) {
        ClientRequest clientRequest = request.clientRequest();
        submit(
                new RouterEvent.RequestReceived(
                        request.routingId(),
                        clientRequest.classIndex(),
                        clientRequest.objectId(),
                        clientRequest.part(),
                        clientRequest.group(),
                        clientRequest.sizeKb(),
                        clientRequest.clientRetry(),
                        request.deadlineNs()));
    }

    /** Completes a request whose client has disconnected or wants no response any more. */
    void cancelByClient(PendingClientRequest request) {
        if (!request.isCompleted()) {
            requests.complete(request);
            stats.cancelled();
            submit(new RouterEvent.ClientDisconnected(request.routingId()));
        }
    }

    /**
     * Ends an attempt and reports it to the router. The first {@link AttemptOutcome#OK} is the
     * request's final response. Does nothing for an attempt that has ended.
     */
    void completeAttempt(EndpointAttempt attempt, AttemptResult result) {
        if (attempt.hasEnded()) {
            return;
        }
        attempt.end();
        PendingClientRequest request = attempt.request();
        request.onAttemptEnded();
        stats.attemptEnded(result.outcome());
        if (result.outcome() == AttemptOutcome.OK && !request.isCompleted()) {
            requests.complete(request);
            stats.served(clock.nowNs() - request.acceptedAtNs());
            request.connection().respondServed(request, result);
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
    }

    /**
     * Hands an event to the router. An event that arises while the actions of another are carried
     * out is handed over after them.
     */
    void submit(RouterEvent event) {
        queuedEvents.add(event);
        if (deciding) {
            return;
        }
        deciding = true;
        try {
            for (RouterEvent next = queuedEvents.poll(); next != null; next = queuedEvents.poll()) {
                decide(next);
            }
        } finally {
            deciding = false;
        }
        timers.arm();
    }

    private void decide(RouterEvent event) {
        try {
            routingStrategy.onEvent(clock.nowNs(), event, actions);
        } catch (RuntimeException fault) {
            // Without this guard a fault in one decision would end the I/O thread's work for all
            // other requests, and its own request would wait for a response until its deadline.
            LOG.error("routing failed: {}", event, fault);
            actions.clear();
            if (event instanceof RouterEvent.RequestReceived received) {
                actions.add(new RouterAction.FailRequest(received.id()));
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
            stats.rejected();
            request.connection().respondRejected(request, reject.retryAfterNs());
        }
    }

    private void failRequest(RouterAction.FailRequest fail) {
        PendingClientRequest request = requests.getOpen(fail.id());
        if (request != null) {
            requests.complete(request);
            stats.failed();
            request.connection().respondFailed(request);
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
        timers.schedule(
                Math.min(request.deadlineNs(), decidedAtNs + decision.timeoutNs()),
                () -> abortAttempt(attempt, AttemptOutcome.TIMEOUT));
        if (decision.startWithinNs() < decision.timeoutNs()) {
            timers.schedule(
                    decidedAtNs + decision.startWithinNs(), () -> abortUnlessStarted(attempt));
        }
        transport.send(attempt);
    }

    private void abortUnlessStarted(EndpointAttempt attempt) {
        if (attempt.state() == EndpointAttempt.State.QUEUED) {
            abortAttempt(attempt, AttemptOutcome.NOT_STARTED);
        }
    }

    // An attempt that still waits for a connection has no effect, whatever stops it.
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
