package brooklock.platform;

import brooklock.net.IoLoop;
import brooklock.proxy.MonotonicClock;
import brooklock.proxy.RoutingStrategy;
import brooklock.routing.AttemptOutcome;
import brooklock.routing.CacheStatus;
import brooklock.routing.RouterAction;
import brooklock.routing.RouterEvent;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.XnioExecutor;

/**
 * Between the module and the sockets, all on one I/O thread: events go to the module one after
 * another, its actions are carried out in their order, its timers and the time-outs of attempts are
 * kept. Every attempt comes to one outcome.
 */
final class RequestExecutor {
    private static final Logger LOG = LoggerFactory.getLogger(RequestExecutor.class);
    // Requests taken and not ended; further ones are refused at once. Above what one core can serve
    // in a deadline.
    private static final int MAX_PENDING_REQUESTS = 8192;
    // Part of the heap that the bodies of open requests may take together; further ones are refused
    // at once.
    private static final int BODY_HEAP_DIVISOR = 8;

    /** Where attempts and answers go. */
    interface AttemptTransport {
        /** Sends an attempt; it ends by {@link RequestExecutor#ended}. */
        void send(Attempt attempt);

        /** Stops an attempt that has ended. */
        void abandon(Attempt attempt);
    }

    private record ScheduledTask(long atNs, Runnable task) {}

    private final DispatcherStats stats = new DispatcherStats();
    private final RoutingStrategy routingStrategy;
    private final MonotonicClock clock;
    private final IoLoop loop;
    private final AttemptTransport transport;
    private final Map<Long, PendingRequest> requestsByRoutingId = new HashMap<>();
    private final Map<Long, PendingRequest> requestsByClientId = new HashMap<>();
    private final ArrayDeque<RouterEvent> queuedEvents = new ArrayDeque<>();
    private final List<RouterAction> actions = new ArrayList<>();
    private final PriorityQueue<ScheduledTask> scheduledTasks =
            new PriorityQueue<>(Comparator.comparingLong(ScheduledTask::atNs));
    private XnioExecutor.Key timerKey;
    private long timerAtNs = Long.MAX_VALUE;
    private long lastRoutingId;
    private int openRequests;
    private long heldBodyBytes;
    private long maxBodyBytes = Runtime.getRuntime().maxMemory() / BODY_HEAP_DIVISOR;
    private boolean deciding;

    RequestExecutor(
            RoutingStrategy routingStrategy,
            MonotonicClock clock,
            IoLoop loop,
            AttemptTransport transport) {
        this.routingStrategy = routingStrategy;
        this.clock = clock;
        this.loop = loop;
        this.transport = transport;
    }

    void start() {
        routingStrategy.start(clock.nowNs(), actions);
        executeActions();
        armTimer();
    }

    DispatcherStats stats() {
        return stats;
    }

    /** Sets how many bytes the bodies of open requests may take together. */
    void maxBodyBytes(long bytes) {
        maxBodyBytes = bytes;
    }

    /** Requests without a final answer. */
    int openRequests() {
        return openRequests;
    }

    /**
     * Takes a request whose id is not open; false where there is no room, which the caller tells
     * the client.
     */
    boolean accept(
            ClientRequest clientRequest,
            ClientConnection connection,
            long messageId,
            Consumer<PendingRequest> onAccepted) {
        if (openRequests >= MAX_PENDING_REQUESTS
                || heldBodyBytes + clientRequest.body().length > maxBodyBytes) {
            return false;
        }
        long now = clock.nowNs();
        PendingRequest request =
                new PendingRequest(
                        ++lastRoutingId,
                        clientRequest,
                        now,
                        now + clientRequest.timeoutMs() * 1_000_000L,
                        connection,
                        messageId);
        requestsByRoutingId.put(request.routingId, request);
        heldBodyBytes += clientRequest.body().length;
        requestsByClientId.put(clientRequest.id(), request);
        openRequests++;
        onAccepted.accept(request);
        stats.accepted();
        submit(
                new RouterEvent.RequestReceived(
                        request.routingId,
                        clientRequest.classIndex(),
                        clientRequest.objectId(),
                        clientRequest.part(),
                        clientRequest.group(),
                        clientRequest.sizeKb(),
                        clientRequest.clientRetry(),
                        request.deadlineNs));
        return true;
    }

    /** The module's time, ns. */
    long now() {
        return clock.nowNs();
    }

    /** Whether a request of this id has no final answer yet. */
    boolean isOpen(long id) {
        return requestsByClientId.containsKey(id);
    }

    /** The client has left or does not want it any more. */
    void cancelByClient(PendingRequest request) {
        if (!request.completed) {
            completeRequest(request);
            stats.cancelled();
            submit(new RouterEvent.ClientDisconnected(request.routingId));
        }
    }

    /** An attempt has come to its end; the first OK is the request's answer. */
    void completeAttempt(
            Attempt attempt,
            AttemptOutcome outcome,
            CacheStatus note,
            long sourceWaitNs,
            Frame response) {
        if (attempt.ended) {
            return;
        }
        attempt.ended = true;
        attempt.connection = null;
        PendingRequest request = attempt.request;
        request.openAttempts--;
        stats.attemptEnded(outcome);
        if (outcome == AttemptOutcome.OK && !request.completed) {
            completeRequest(request);
            stats.served(clock.nowNs() - request.acceptedAtNs);
            request.connection.respondServed(request, response);
        }
        submit(
                new RouterEvent.AttemptCompleted(
                        request.routingId,
                        attempt.index,
                        attempt.decision.endpoint(),
                        outcome,
                        note,
                        clock.nowNs() - attempt.startedAtNs,
                        sourceWaitNs,
                        request.completed));
        removeIfFinished(request);
    }

    private void completeRequest(PendingRequest request) {
        request.completed = true;
        openRequests--;
        requestsByClientId.remove(request.clientRequest.id(), request);
        removeIfFinished(request);
    }

    private void removeIfFinished(PendingRequest request) {
        if (request.completed
                && request.openAttempts == 0
                && requestsByRoutingId.remove(request.routingId) != null) {
            heldBodyBytes -= request.clientRequest.body().length;
        }
    }

    /** Tells the module; where it is being told something, after that. */
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
        armTimer();
    }

    private void decide(RouterEvent event) {
        try {
            routingStrategy.onEvent(clock.nowNs(), event, actions);
        } catch (RuntimeException fault) {
            // A fault in one decision must not stop all others, and its request must not wait for
            // nothing.
            LOG.error("decision failed: {}", event, fault);
            actions.clear();
            if (event instanceof RouterEvent.RequestReceived r) {
                actions.add(new RouterAction.FailRequest(r.id()));
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
        if (action instanceof RouterAction.StartAttempt a) {
            startAttempt(a);
        } else if (action instanceof RouterAction.RejectRequest a) {
            PendingRequest request = requestsByRoutingId.get(a.id());
            if (request != null && !request.completed) {
                completeRequest(request);
                stats.rejected();
                request.connection.respondRejected(request, a.retryAfterNs());
            }
        } else if (action instanceof RouterAction.FailRequest a) {
            PendingRequest request = requestsByRoutingId.get(a.id());
            if (request != null && !request.completed) {
                completeRequest(request);
                stats.failed();
                request.connection.respondFailed(request);
            }
        } else if (action instanceof RouterAction.CancelAttempt a) {
            PendingRequest request = requestsByRoutingId.get(a.id());
            if (request != null && a.attempt() < request.attempts.size()) {
                abortAttempt(request.attempts.get(a.attempt()), AttemptOutcome.CANCELLED);
            }
        } else if (action instanceof RouterAction.SetTimer a) {
            scheduledTasks.add(
                    new ScheduledTask(
                            a.atNs(), () -> submit(new RouterEvent.TimerFired(a.token()))));
        }
    }

    private void startAttempt(RouterAction.StartAttempt decision) {
        PendingRequest request = requestsByRoutingId.get(decision.id());
        if (request == null) {
            return;
        }
        Attempt attempt = new Attempt(request, request.attempts.size(), decision, clock.nowNs());
        request.attempts.add(attempt);
        request.openAttempts++;
        if (request.completed || attempt.decidedAtNs >= request.deadlineNs) {
            completeAttempt(attempt, AttemptOutcome.NOT_STARTED, CacheStatus.NONE, 0, null);
            return;
        }
        scheduledTasks.add(
                new ScheduledTask(
                        Math.min(request.deadlineNs, attempt.decidedAtNs + decision.timeoutNs()),
                        () -> abortAttempt(attempt, AttemptOutcome.TIMEOUT)));
        if (decision.startWithinNs() < decision.timeoutNs()) {
            scheduledTasks.add(
                    new ScheduledTask(
                            attempt.decidedAtNs + decision.startWithinNs(),
                            () -> abandonUnlessStarted(attempt)));
        }
        transport.send(attempt);
    }

    private void abandonUnlessStarted(Attempt attempt) {
        if (attempt.connection == null) {
            abortAttempt(attempt, AttemptOutcome.NOT_STARTED);
        }
    }

    // One that still waited for a connection never ran.
    private void abortAttempt(Attempt attempt, AttemptOutcome outcome) {
        if (!attempt.ended) {
            EndpointConnection connection = attempt.connection;
            completeAttempt(
                    attempt,
                    connection == null ? AttemptOutcome.NOT_STARTED : outcome,
                    CacheStatus.NONE,
                    0,
                    null);
            if (connection != null) {
                connection.cancel(attempt);
            } else {
                transport.abandon(attempt);
            }
        }
    }

    // One timer for all that is due.
    private void armTimer() {
        ScheduledTask next = scheduledTasks.peek();
        if (next == null || timerAtNs <= next.atNs()) {
            return;
        }
        if (timerKey != null) {
            timerKey.remove();
        }
        timerAtNs = next.atNs();
        timerKey = loop.schedule(Math.max(0, timerAtNs - clock.nowNs()), this::onTimer);
    }

    private void onTimer() {
        timerKey = null;
        stats.timerLag(clock.nowNs() - timerAtNs);
        timerAtNs = Long.MAX_VALUE;
        for (ScheduledTask next = scheduledTasks.peek();
                next != null && next.atNs() <= clock.nowNs();
                next = scheduledTasks.peek()) {
            scheduledTasks.poll();
            try {
                next.task().run();
            } catch (RuntimeException fault) {
                // What else is due must not wait for ever.
                LOG.error("a timer's work failed", fault);
            }
        }
        armTimer();
    }
}
