package brooklock.routing;

import brooklock.routing.RequestTimers.Purpose;
import brooklock.routing.RequestTimers.RequestTimer;
import brooklock.routing.RouterAction.CancelAttempt;
import brooklock.routing.RouterAction.FailRequest;
import brooklock.routing.RouterAction.RejectRequest;
import brooklock.routing.RouterAction.StartAttempt;
import brooklock.routing.RouterAction.WatchEndpoints;
import brooklock.routing.RouterEvent.AttemptCompleted;
import brooklock.routing.RouterEvent.ClientDisconnected;
import brooklock.routing.RouterEvent.EndpointListReceived;
import brooklock.routing.RouterEvent.KeyedRetryReceived;
import brooklock.routing.RouterEvent.PurgeReceived;
import brooklock.routing.RouterEvent.RequestReceived;
import brooklock.routing.RouterEvent.ResponseStarted;
import brooklock.routing.RouterEvent.TimerFired;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Routes the requests of one dispatcher: handles each {@link RouterEvent}, keeps the open requests
 * and updates the routing policies.
 *
 * <p>{@link HotList} counts each request. {@link CacheSelector} and {@link FillSourceSelector}
 * select its endpoint and fill source, and {@link FillAdmission} decides which tiers it may use
 * under the present load. When an attempt ends, the policies are updated in the order of {@link
 * #updatePolicies}; then the request is finished, retried (see {@link RetryPolicy}), rejected or
 * failed.
 *
 * <p>Times are nanoseconds of the caller's clock. The router reads no clock and draws no random
 * numbers, so the same events always produce the same actions. {@link #start} is called before the
 * first event. Not thread-safe.
 */
public final class Router {
    /** Ticks from the final response to the deadline, kept because timers may fire late. */
    private static final int FINAL_RESPONSE_TICKS = 2;

    private final RouterSettings settings;
    private final EndpointTable endpoints;
    private final HotList hotList = new HotList();
    private final WorkEstimator workEstimator;
    private final OutlierDetector outliers;
    private final SlowStart slowStart;
    private final CacheSelector cacheSelector;
    private final FillSourceSelector fillSourceSelector;
    private final FillAdmission admission;
    private final RetryPolicy retryPolicy;
    private final RetryBudget retryBudget = new RetryBudget();
    private final HedgingPolicy hedging;
    private final PurgeLog purges;
    private final Map<Long, PendingRequest> requests = new HashMap<>();
    private final RequestTimers timers = new RequestTimers();
    private long now;
    private List<RouterAction> actions;

    /** Creates a new router that has no endpoints and no requests yet. */
    public Router(RouterSettings settings) {
        this.settings = settings;
        endpoints = new EndpointTable(settings);
        workEstimator = new WorkEstimator(settings);
        outliers = new OutlierDetector(settings);
        slowStart = new SlowStart(settings, endpoints, workEstimator);
        cacheSelector = new CacheSelector(settings, endpoints, outliers, slowStart, workEstimator);
        fillSourceSelector = new FillSourceSelector(endpoints, outliers, slowStart);
        admission = new FillAdmission(settings, outliers);
        retryPolicy = new RetryPolicy(settings);
        hedging = new HedgingPolicy(settings);
        purges = new PurgeLog(settings);
    }

    /** Starts the router at {@code now}, in nanoseconds, and appends its first actions. */
    public void start(long now, List<RouterAction> actions) {
        beginEvent(now, actions);
        hotList.start(now);
        if (settings.watchesEndpointList()) {
            actions.add(new WatchEndpoints());
        }
    }

    /**
     * Handles an event at {@code now}, in nanoseconds, and appends the resulting actions in the
     * order in which they are to be carried out.
     */
    public void onEvent(long now, RouterEvent event, List<RouterAction> actions) {
        beginEvent(now, actions);
        hotList.advanceTo(now);
        if (event instanceof RequestReceived e) {
            onRequest(accept(e));
        } else if (event instanceof KeyedRetryReceived e) {
            onRequest(accept(e.request()).withKeySentAt(e.keyFirstSentAtNs()));
        } else if (event instanceof AttemptCompleted e) {
            onAttemptCompleted(e);
        } else if (event instanceof TimerFired e) {
            onTimer(timers.remove(e.token()));
        } else if (event instanceof ClientDisconnected e) {
            finish(requests.get(e.id()));
        } else if (event instanceof ResponseStarted e) {
            onResponseStarted(e);
        } else if (event instanceof EndpointListReceived e) {
            onEndpointList(e);
        } else if (event instanceof PurgeReceived e) {
            purges.onPurge(e, now);
        }
    }

    private void beginEvent(long now, List<RouterAction> actions) {
        this.now = now;
        this.actions = actions;
    }

    private void onEndpointList(EndpointListReceived list) {
        if (list.kind() == EndpointListKind.FAILED) {
            actions.add(new WatchEndpoints());
            return;
        }
        endpoints.update(list, now);
        slowStart.invalidateWarmWeights();
    }

    // ---- Requests

    private void onRequest(PendingRequest request) {
        requests.put(request.id(), request);
        workEstimator.onAccepted(request);
        retryBudget.onRequest();
        timers.set(request.finalResponseAtNs, request, Purpose.FINAL_RESPONSE, now, actions);
        startAttempt(request);
        if (!request.finished && hedging.mayHedge(request)) {
            long hedgeAtNs = HedgingPolicy.hedgeAtNs(request, now);
            timers.set(hedgeAtNs, request, Purpose.HEDGE, now, actions);
        }
    }

    private PendingRequest accept(RequestReceived event) {
        ObjectDemand demand = hotList.recordRequest(event);
        return new PendingRequest(
                event,
                settings.classes().get(event.classIndex()),
                demand,
                hotList.isHot(event.object(), demand),
                workEstimator.estimate(event, demand),
                now,
                event.deadlineNs() - FINAL_RESPONSE_TICKS * settings.timerTickNs());
    }

    // ---- Start of attempts

    /**
     * Starts an attempt and returns whether one was started. If none is admitted and none is open,
     * the request is rejected or failed. If the request has no attempts left, nothing changes.
     */
    private boolean startAttempt(PendingRequest request) {
        if (!retryPolicy.hasAttemptsLeft(request)) {
            return false;
        }
        boolean passThrough = request.requestClass.passThrough();
        boolean directOriginAllowed = settings.directOriginAllowed();
        RoutedEndpoint target = endpoints.origin();
        RoutedEndpoint fillSource = target;
        if (!passThrough || !directOriginAllowed) {
            target = cacheSelector.select(request, now);
            fillSource = passThrough ? endpoints.origin() : fillSourceSelector.select(request, now);
            if (target == null && directOriginAllowed) {
                target = fillSource;
                fillSource = endpoints.origin();
            }
        }
        if (target != null) {
            AdmittedTier tier =
                    passThrough ? AdmittedTier.ORIGIN : admission.admit(request, target, now);
            if (tier != AdmittedTier.NONE) {
                boolean noFill = fillSource == null || tier == AdmittedTier.CACHE;
                send(request, new Attempt(target, noFill ? target : fillSource, tier, now));
                return true;
            }
        }
        if (request.openAttempts == 0) {
            rejectOrFail(request);
        }
        return false;
    }

    private void send(PendingRequest request, Attempt attempt) {
        RoutedEndpoint endpoint = attempt.endpoint;
        RoutedEndpoint fillSource = attempt.fillSource;
        request.addAttempt(attempt, now);
        outliers.onAttemptStarted(endpoint, now);
        admission.acquire(request, attempt);
        chargeUse(endpoint, request);
        if (attempt.fillsOnMiss()) {
            chargeUse(fillSource, request);
        }
        long timeoutNs = Math.max(1, request.event.deadlineNs() - now);
        actions.add(
                new StartAttempt(
                        request.id(),
                        endpoint.id(),
                        timeoutNs,
                        fillSource.id(),
                        hotList.cachePriority(request, endpoint, now),
                        purges.maxAgeNs(request, now),
                        settings.collapsesRequests() && !request.requestClass.passThrough(),
                        attempt.admittedTier == AdmittedTier.PARENT && fillSource.isParent,
                        RetryPolicy.startTimeoutNs(request, timeoutNs, now)));
    }

    /** Charges the use of an endpoint; for an ejected endpoint, this use is its health check. */
    private void chargeUse(RoutedEndpoint endpoint, PendingRequest request) {
        slowStart.charge(endpoint, request);
        outliers.onUsed(endpoint, now);
    }

    // ---- End of attempts

    private void onAttemptCompleted(AttemptCompleted completed) {
        PendingRequest request = requests.get(completed.id());
        if (request == null || completed.attempt() >= request.attempts.size()) {
            return;
        }
        Attempt attempt = request.attempts.get(completed.attempt());
        if (attempt.completed) {
            return;
        }
        updatePolicies(request, attempt, completed);
        if (completed.requestFinished()) {
            finish(request);
        } else if (!request.finished) {
            request.mayHaveExecuted |= !completed.outcome().provesNotExecuted;
            retryOrEnd(request, completed.outcome());
        }
        removeIfDone(request);
    }

    /**
     * Updates the policies with the outcome of an attempt. The order is fixed because each step
     * reads what the steps before it have written:
     *
     * <ol>
     *   <li>the rate of lost responses, while the attempt still counts as open;
     *   <li>the open attempts of the request and of the endpoint;
     *   <li>the work in flight on the endpoint's link, on the fill link and at the origin;
     *   <li>lost connections of endpoint, then fill source, which may restart a slow start;
     *   <li>the error rates of the endpoint, of endpoints with earlier errors, of the fill source;
     *   <li>the served rate of a warm cache, with the class's mean work before this response;
     *   <li>the mean work of the class and of the object;
     *   <li>the served rate of a warm parent, or its budget's refund, with the new mean work;
     *   <li>the concurrency limits and the miss ratios.
     * </ol>
     */
    private void updatePolicies(
            PendingRequest request, Attempt attempt, AttemptCompleted completed) {
        RoutedEndpoint endpoint = attempt.endpoint;
        RoutedEndpoint fillSource = attempt.fillSource;
        AttemptOutcome outcome = completed.outcome();
        CacheStatus status = completed.cacheStatus();
        boolean ok = outcome == AttemptOutcome.OK;
        boolean responseLost = hedging.onCompleted(request, attempt, completed, now);
        attempt.completed = true;
        request.openAttempts--;
        outliers.onAttemptEnded(endpoint);
        admission.release(attempt, now);
        recordConnectionOutcome(
                endpoint,
                outcome == AttemptOutcome.RESET || outcome == AttemptOutcome.CONNECT_FAILED);
        if (status.isFilled() || status.isFillSourceFailure()) {
            recordConnectionOutcome(fillSource, outliers.isFillSourceUnreachable(completed));
        }
        outliers.onCompleted(request, attempt, completed, now);
        if (ok && endpoint.isCache) {
            slowStart.onServed(endpoint, request, now);
        }
        if (ok) {
            workEstimator.onSuccess(request, completed);
        }
        if (fillSource.isParent && status.isFilled()) {
            slowStart.onServed(fillSource, request, now);
        } else if (fillSource.isParent && attempt.fillsOnMiss() && ok) {
            slowStart.refund(fillSource, request);
        }
        admission.onCompleted(
                request, attempt, completed, responseLost, workEstimator.meanNs(), now);
    }

    private void recordConnectionOutcome(RoutedEndpoint endpoint, boolean failed) {
        if (outliers.onConnectionOutcome(endpoint, failed)) {
            slowStart.restart(endpoint, now);
        }
    }

    /**
     * Starts another attempt or ends the request. If an attempt that was not admitted to the origin
     * missed, the next one may use a further tier and is not charged to the retry budget. Any other
     * attempt must be allowed by the retry policy and the retry budget.
     */
    private void retryOrEnd(PendingRequest request, AttemptOutcome outcome) {
        if (request.openAttempts > 0) {
            return;
        }
        Attempt previous = request.lastAttempt();
        if (previous.admittedTier != AdmittedTier.ORIGIN && outcome == AttemptOutcome.CACHE_MISS) {
            request.cacheMissed = true;
            request.parentMissed |= previous.admittedTier == AdmittedTier.PARENT;
            if (startAttempt(request) || request.finished) {
                return;
            }
        }
        if (retryBudget.hasAvailableAttempt() && retryPolicy.mayRetry(request, now)) {
            retryBudget.spendAttempt();
            if (startAttempt(request) || request.finished) {
                return;
            }
        }
        rejectOrFail(request);
    }

    // ---- Timers

    private void onTimer(RequestTimer timer) {
        PendingRequest request = timer == null ? null : requests.get(timer.requestId());
        if (request == null || request.finished) {
            return;
        }
        if (timer.purpose() == Purpose.FINAL_RESPONSE) {
            rejectOrFail(request);
        } else if (request.openAttempts == 1 && !request.attempts.isEmpty()) {
            hedge(request);
        }
    }

    /**
     * Hedges a request if its endpoint is ejected, or if its response is lost and the retry budget
     * allows an attempt.
     */
    private void hedge(PendingRequest request) {
        Attempt attempt = request.lastAttempt();
        boolean responseLost = hedging.isResponseLost(attempt, admission);
        if (responseLost) {
            // A lost response uses no link capacity. The release at its outcome has no effect.
            admission.release(attempt, now);
        }
        if (outliers.isEjected(attempt.endpoint, now)) {
            startAttempt(request);
        } else if (responseLost && retryBudget.hasAvailableAttempt() && startAttempt(request)) {
            retryBudget.spendAttempt();
        }
    }

    // ---- End of requests

    /** Rejects the request if a retry by the client is harmless, else fails it. */
    private void rejectOrFail(PendingRequest request) {
        if (request.failedEndpoints.size() == 1) {
            outliers.attributeErrors(request, now);
        }
        if (RetryPolicy.mayReject(request)) {
            RouterSettings.Limits limits = settings.limits();
            long retryAfterNs = limits.retryAfterSent() ? limits.maxRetryAfterNs() : 0;
            actions.add(new RejectRequest(request.id(), retryAfterNs));
        } else {
            actions.add(new FailRequest(request.id()));
        }
        HotList.removeUnservedRequest(request.demand);
        finish(request);
    }

    /** Finishes the request with the response that has started; its attempt is not cancelled. */
    private void onResponseStarted(ResponseStarted event) {
        PendingRequest request = requests.get(event.id());
        if (request != null && event.attempt() < request.attempts.size()) {
            request.attempts.get(event.attempt()).responseStarted = true;
            finish(request);
        }
    }

    private void finish(PendingRequest request) {
        if (request == null) {
            return;
        }
        request.finished = true;
        if (settings.limits().cancelAllowed()) {
            for (int i = 0; i < request.attempts.size(); i++) {
                Attempt attempt = request.attempts.get(i);
                if (!attempt.completed && !attempt.responseStarted) {
                    actions.add(new CancelAttempt(request.id(), i));
                }
            }
        }
        removeIfDone(request);
    }

    private void removeIfDone(PendingRequest request) {
        if (request.finished && request.openAttempts == 0) {
            requests.remove(request.id());
        }
    }
}
