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
import brooklock.routing.RouterEvent.PurgeReceived;
import brooklock.routing.RouterEvent.RequestReceived;
import brooklock.routing.RouterEvent.ResponseStarted;
import brooklock.routing.RouterEvent.TimerFired;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The entry point of all routing decisions of one dispatcher: dispatches events to the policies and
 * owns the open requests.
 *
 * <p>A request is counted by {@link HotList}; {@link CacheSelector} and {@link FillSourceSelector}
 * choose where it goes, {@link FillAdmission} how far. When its attempt ends, the policies learn in
 * the order of {@link #settle}; then it is finished, retried ({@link RetryPolicy}) or given up.
 * Events and actions are {@link RouterEvent} and {@link RouterAction}. Times are nanoseconds of the
 * event's clock; the same events give the same actions. Not thread-safe.
 */
public final class Router {
    /**
     * Timer ticks before the client's deadline at which the final response goes out: timers may be
     * late.
     */
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

    /** Creates the router of one dispatcher; its state is empty. */
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

    /** Starts at a time, ns, and appends what is to be done first. */
    public void start(long now, List<RouterAction> actions) {
        begin(now, actions);
        hotList.start(now);
        if (settings.watchesEndpointList()) {
            actions.add(new WatchEndpoints());
        }
    }

    /** Decides about one event at a time, ns, and appends what is to be done, in order. */
    public void onEvent(long now, RouterEvent event, List<RouterAction> actions) {
        begin(now, actions);
        hotList.advance(now);
        if (event instanceof RequestReceived e) {
            onRequest(e);
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

    private void begin(long now, List<RouterAction> actions) {
        this.now = now;
        this.actions = actions;
    }

    private void onEndpointList(EndpointListReceived list) {
        if (list.kind() == EndpointListKind.FAILED) {
            actions.add(new WatchEndpoints());
            return;
        }
        endpoints.update(list, now);
        slowStart.onListChanged();
    }

    // ---- A request is received

    private void onRequest(RequestReceived event) {
        PendingRequest request = accept(event);
        requests.put(event.id(), request);
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
        ObjectDemand demand = hotList.count(event);
        return new PendingRequest(
                event,
                settings.classes().get(event.classIndex()),
                demand,
                hotList.isHot(event.object(), demand),
                workEstimator.estimate(event, demand),
                now,
                event.deadlineNs() - FINAL_RESPONSE_TICKS * settings.timerTickNs());
    }

    // ---- An attempt starts

    /**
     * Starts an attempt, or gives the request up where it may reach nothing and no attempt is open.
     * Returns whether one was started; one that has no attempt left is left as it is.
     */
    private boolean startAttempt(PendingRequest request) {
        if (!retryPolicy.hasAttemptLeft(request)) {
            return false;
        }
        boolean passThrough = request.requestClass.passThrough();
        boolean direct = settings.directOriginAllowed();
        RoutedEndpoint target = endpoints.origin();
        RoutedEndpoint fillSource = target;
        if (!passThrough || !direct) {
            target = cacheSelector.select(request, now);
            fillSource = passThrough ? endpoints.origin() : fillSourceSelector.select(request, now);
            if (target == null && direct) {
                target = fillSource;
                fillSource = endpoints.origin();
            }
        }
        if (target != null) {
            AdmittedTier reach =
                    passThrough ? AdmittedTier.ORIGIN : admission.reach(request, target, now);
            if (reach != AdmittedTier.NONE) {
                boolean noFill = fillSource == null || reach == AdmittedTier.CACHE;
                send(request, new Attempt(target, noFill ? target : fillSource, reach, now));
                return true;
            }
        }
        if (request.openAttempts == 0) {
            giveUp(request);
        }
        return false;
    }

    private void send(PendingRequest request, Attempt attempt) {
        RoutedEndpoint endpoint = attempt.endpoint;
        RoutedEndpoint fillSource = attempt.fillSource;
        if (request.attempts.isEmpty()) {
            request.firstDecidedAtNs = now;
        }
        request.attempts.add(attempt);
        request.openAttempts++;
        outliers.onAttemptStarted(endpoint, now);
        admission.acquire(request, attempt);
        charge(endpoint, request);
        if (attempt.fills()) {
            charge(fillSource, request);
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
                        attempt.reach == AdmittedTier.PARENT && fillSource.isParent,
                        RetryPolicy.startWithinNs(request, timeoutNs, now)));
    }

    /**
     * Counts a use as target or fill source against the endpoint's budget and as its health check.
     */
    private void charge(RoutedEndpoint endpoint, PendingRequest request) {
        slowStart.spend(endpoint, request);
        outliers.onUsed(endpoint, now);
    }

    // ---- An attempt ends

    private void onAttemptCompleted(AttemptCompleted completed) {
        PendingRequest request = requests.get(completed.id());
        if (request == null || completed.attempt() >= request.attempts.size()) {
            return;
        }
        Attempt attempt = request.attempts.get(completed.attempt());
        if (attempt.completed) {
            return;
        }
        settle(request, attempt, completed);
        if (completed.requestFinished()) {
            finish(request);
        } else if (!request.finished) {
            request.mayHaveExecuted |= !completed.outcome().provesNotExecuted;
            retryOrGiveUp(request, completed.outcome());
        }
        forgetIfDone(request);
    }

    /**
     * The one order in which the policies learn from an attempt that ends. Each step reads what
     * those before have written:
     *
     * <ol>
     *   <li>the rate of lost responses, while the attempt still counts as open;
     *   <li>the attempt is no longer open, at its request and at its endpoint;
     *   <li>its work leaves the limits of its endpoint, of the fills and of the origin;
     *   <li>connections lost at the endpoint, then at the fill source, may start a slow start;
     *   <li>error rates, of the endpoint first, then of those blamed, then of the fill source;
     *   <li>the rate that a warm cache served, by the class's mean work of before;
     *   <li>the mean work of class and object;
     *   <li>the rate that a warm parent filled, or its refund, by the new mean work;
     *   <li>the limits and the miss ratios.
     * </ol>
     */
    private void settle(PendingRequest request, Attempt attempt, AttemptCompleted completed) {
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
        learnConnection(
                endpoint,
                outcome == AttemptOutcome.RESET || outcome == AttemptOutcome.CONNECT_FAILED);
        if (status.isFilled() || status.isFillSourceFailure()) {
            learnConnection(fillSource, outliers.isFillSourceUnreached(completed));
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
        } else if (fillSource.isParent && attempt.fills() && ok) {
            slowStart.refund(fillSource, request);
        }
        admission.onCompleted(
                request, attempt, completed, responseLost, workEstimator.meanNs(), now);
    }

    private void learnConnection(RoutedEndpoint endpoint, boolean failed) {
        if (outliers.onConnectionOutcome(endpoint, failed)) {
            slowStart.restart(endpoint, now);
        }
    }

    /**
     * One more attempt: further on after a miss, elsewhere where the retry rules allow it; else the
     * end.
     */
    private void retryOrGiveUp(PendingRequest request, AttemptOutcome outcome) {
        if (request.openAttempts > 0) {
            return;
        }
        Attempt last = request.lastAttempt();
        if (last.reach != AdmittedTier.ORIGIN && outcome == AttemptOutcome.CACHE_MISS) {
            request.missed = true;
            request.parentMissed |= last.reach == AdmittedTier.PARENT;
            if (startAttempt(request) || request.finished) {
                return;
            }
        }
        if (retryBudget.hasAttempt() && retryPolicy.mayRetry(request, now)) {
            retryBudget.spendAttempt();
            if (startAttempt(request) || request.finished) {
                return;
            }
        }
        giveUp(request);
    }

    // ---- A timer fires

    private void onTimer(RequestTimer timer) {
        PendingRequest request = timer == null ? null : requests.get(timer.requestId());
        if (request == null || request.finished) {
            return;
        }
        if (timer.purpose() == Purpose.FINAL_RESPONSE) {
            giveUp(request);
        } else if (request.openAttempts == 1 && !request.attempts.isEmpty()) {
            hedge(request);
        }
    }

    /**
     * Hedges a request whose endpoint is ejected by now, or, if the retry budget has an attempt
     * left, one whose response was lost.
     */
    private void hedge(PendingRequest request) {
        Attempt attempt = request.lastAttempt();
        boolean responseLost = hedging.isResponseLost(attempt, admission);
        if (responseLost) {
            // Its work is done and loads no link any more; its later outcome releases nothing.
            admission.release(attempt, now);
        }
        if (outliers.isEjected(attempt.endpoint, now)) {
            startAttempt(request);
        } else if (responseLost && retryBudget.hasAttempt() && startAttempt(request)) {
            retryBudget.spendAttempt();
        }
    }

    // ---- A request ends

    /** Gives the final response at once: rejected where a retry is harmless, else failed. */
    private void giveUp(PendingRequest request) {
        if (request.failedEndpoints.size() == 1) {
            outliers.blameFailedEndpoints(request, now);
        }
        if (RetryPolicy.mayReject(request)) {
            RouterSettings.Limits limits = settings.limits();
            long retryAfterNs = limits.retryAfterSent() ? limits.maxRetryAfterNs() : 0;
            actions.add(new RejectRequest(request.id(), retryAfterNs));
        } else {
            actions.add(new FailRequest(request.id()));
        }
        HotList.uncount(request.demand);
        finish(request);
    }

    /** A response that has begun is the final one; its attempt is not cancelled. */
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
        forgetIfDone(request);
    }

    private void forgetIfDone(PendingRequest request) {
        if (request.finished && request.openAttempts == 0) {
            requests.remove(request.id());
        }
    }
}
