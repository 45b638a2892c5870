package brooklock.faulttest;

import brooklock.proxy.RoutingStrategy;
import brooklock.routing.AttemptOutcome;
import brooklock.routing.Endpoint;
import brooklock.routing.EndpointListKind;
import brooklock.routing.Idempotency;
import brooklock.routing.RouterAction;
import brooklock.routing.RouterAction.CancelAttempt;
import brooklock.routing.RouterAction.FailRequest;
import brooklock.routing.RouterAction.RejectRequest;
import brooklock.routing.RouterAction.SetTimer;
import brooklock.routing.RouterAction.StartAttempt;
import brooklock.routing.RouterEvent;
import brooklock.routing.RouterEvent.AttemptCompleted;
import brooklock.routing.RouterEvent.ClientDisconnected;
import brooklock.routing.RouterEvent.EndpointListReceived;
import brooklock.routing.RouterEvent.PurgeReceived;
import brooklock.routing.RouterEvent.RequestReceived;
import brooklock.routing.RouterEvent.ResponseStarted;
import brooklock.routing.RouterEvent.TimerFired;
import brooklock.routing.RouterSettings;
import brooklock.routing.RouterSettings.RequestClass;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * A routing strategy that serves as an upper bound in comparisons. It knows the true load, warm-up
 * state, cached copies and faults of every test server, and chooses the endpoint with the lowest
 * expected latency within the invariants. It knows neither future events nor which individual
 * response will be lost. Used on the routing thread only.
 */
final class OracleRouter implements RoutingStrategy {
    /**
     * Time after which an attempt without a fill is treated as lost if its response has not
     * started.
     */
    private static final double RESPONSE_START_TIMEOUT_NS = 60e6;

    /**
     * Time added to the response timeout of an attempt whose endpoint must fill the object first.
     */
    private static final double FILL_TIMEOUT_NS = 3 * OracleSelector.NOMINAL_TRANSFER_NS;

    /**
     * Interval at which endpoint selection is repeated for a request for which no endpoint has
     * capacity, until the request misses its latency objective.
     */
    private static final long RECHECK_NS = 25_000_000L;

    private static final long COUNT_INTERVAL_NS = 10_000_000_000L;
    private static final long CLOCK_TOLERANCE_NS = 5_000_000L;
    private static final int MAX_ATTEMPTS = 4;

    private final RouterSettings settings;
    private final Map<Long, Endpoint> endpoints = new TreeMap<>();
    private final Map<Long, OracleRequest> openRequests = new HashMap<>();
    private final OracleSelector selector;

    /** Objects requested in the previous counting interval. */
    private Set<Long> previousObjects = new HashSet<>();

    /** Objects requested in the current counting interval. */
    private Set<Long> currentObjects = new HashSet<>();

    private long intervalEndNs;

    OracleRouter(RouterSettings settings, GroundTruth groundTruth) {
        this.settings = settings;
        selector = new OracleSelector(settings, groundTruth, endpoints, CLOCK_TOLERANCE_NS);
    }

    @Override
    public void start(long now, List<RouterAction> out) {
        intervalEndNs = now + COUNT_INTERVAL_NS;
    }

    @Override
    public void onEvent(long now, RouterEvent event, List<RouterAction> out) {
        if (event instanceof EndpointListReceived list) {
            if (list.kind() != EndpointListKind.DELTA) {
                endpoints.clear();
            }
            list.endpoints().forEach(endpoint -> endpoints.put(endpoint.id(), endpoint));
        } else if (event instanceof RequestReceived request) {
            OracleRequest pending =
                    new OracleRequest(request, now, isRecentlyRequested(now, request.object()));
            openRequests.put(request.id(), pending);
            out.add(new SetTimer(request.id(), request.deadlineNs() - 2 * settings.timerTickNs()));
            send(now, pending, out);
        } else if (event instanceof ResponseStarted started) {
            openRequests.remove(started.id());
        } else if (event instanceof ClientDisconnected disconnected) {
            openRequests.remove(disconnected.id());
        } else if (event instanceof PurgeReceived purge) {
            selector.onPurge(now, purge);
        } else if (event instanceof TimerFired timer) {
            onTimer(now, timer, out);
        } else if (event instanceof AttemptCompleted completed) {
            onCompleted(now, completed, out);
        }
    }

    // The token of a request's deadline timer is the request ID; the token of its other timers is
    // the negated request ID.
    private void onTimer(long now, TimerFired timer, List<RouterAction> out) {
        OracleRequest pending = openRequests.get(Math.abs(timer.token()));
        if (timer.token() > 0) {
            rejectOrFail(pending, out);
        } else if (pending != null && (!pending.inFlight || mayReplaceAttempt(now, pending))) {
            if (pending.inFlight) {
                out.add(new CancelAttempt(pending.request.id(), pending.attemptsSent - 1));
                pending.inFlight = false;
                pending.possiblyExecuted = true;
            }
            send(now, pending, out);
        }
    }

    private boolean mayReplaceAttempt(long now, OracleRequest pending) {
        return now >= pending.timeoutAtNs
                && requestClass(pending).idempotency() != Idempotency.NOT_IDEMPOTENT;
    }

    private RequestClass requestClass(OracleRequest pending) {
        return settings.classes().get(pending.request.classIndex());
    }

    private void onCompleted(long now, AttemptCompleted completed, List<RouterAction> out) {
        OracleRequest pending = openRequests.get(completed.id());
        if (pending == null || completed.attempt() != pending.attemptsSent - 1) {
            return;
        }
        if (completed.outcome() == AttemptOutcome.OK) {
            openRequests.remove(completed.id());
            return;
        }
        pending.inFlight = false;
        pending.failedEndpoints.add(completed.endpoint());
        pending.possiblyExecuted |= !completed.outcome().provesNotExecuted;
        send(now, pending, out);
    }

    private void send(long now, OracleRequest pending, List<RouterAction> out) {
        RequestClass requestClass = requestClass(pending);
        long remainingNs = pending.request.deadlineNs() - 2 * settings.timerTickNs() - now;
        boolean maySend =
                pending.attemptsSent < MAX_ATTEMPTS && mayRetry(now, pending, remainingNs);
        StartAttempt chosen =
                remainingNs > 0 && maySend
                        ? selector.cheapest(now, pending, requestClass, remainingNs)
                        : null;
        if (chosen == null) {
            long objectiveNs = pending.acceptedNs + requestClass.latencyObjectiveNs();
            if (maySend && now + RECHECK_NS < Math.min(objectiveNs, now + remainingNs)) {
                out.add(new SetTimer(-pending.request.id(), now + RECHECK_NS));
            } else {
                rejectOrFail(pending, out);
            }
            return;
        }
        pending.firstSentNs = pending.attemptsSent == 0 ? now : pending.firstSentNs;
        pending.attemptsSent++;
        pending.inFlight = true;
        boolean fills = chosen.fillsOnMiss();
        pending.timeoutAtNs =
                now + (long) (RESPONSE_START_TIMEOUT_NS + (fills ? FILL_TIMEOUT_NS : 0));
        out.add(chosen);
        if (pending.attemptsSent < MAX_ATTEMPTS) {
            out.add(new SetTimer(-pending.request.id(), pending.timeoutAtNs));
        }
    }

    // A request with an idempotency key may be retried only while every endpoint still remembers
    // the key from the first attempt. Unlike RetryPolicy, this method ignores the idempotency scope
    // of the class and requires that the deadline of the request also lies within the idempotency
    // window.
    private boolean mayRetry(long now, OracleRequest pending, long remainingNs) {
        RequestClass requestClass = requestClass(pending);
        return !pending.possiblyExecuted
                || requestClass.idempotency() == Idempotency.IDEMPOTENT
                || (requestClass.idempotency() == Idempotency.IDEMPOTENCY_KEY
                        && now - pending.firstSentNs
                                < requestClass.idempotencyWindowNs()
                                        - CLOCK_TOLERANCE_NS
                                        - remainingNs);
    }

    private void rejectOrFail(OracleRequest pending, List<RouterAction> out) {
        if (pending == null || openRequests.remove(pending.request.id()) == null) {
            return;
        }
        if (pending.inFlight) {
            out.add(new CancelAttempt(pending.request.id(), pending.attemptsSent - 1));
        }
        // Stricter than RetryPolicy: a request with an idempotency key is rejected only if no
        // attempt may have been executed.
        boolean safeToReject =
                requestClass(pending).idempotency() == Idempotency.IDEMPOTENT
                        || (!pending.inFlight && !pending.possiblyExecuted);
        out.add(
                safeToReject
                        ? new RejectRequest(pending.request.id(), 0)
                        : new FailRequest(pending.request.id()));
    }

    // Records a request for an object and returns whether it was requested before in the current or
    // the previous counting interval.
    private boolean isRecentlyRequested(long now, long object) {
        if (now >= intervalEndNs) {
            previousObjects = currentObjects;
            currentObjects = new HashSet<>();
            intervalEndNs = now + COUNT_INTERVAL_NS;
        }
        return !currentObjects.add(object) || previousObjects.contains(object);
    }
}
