package brooklock.routing;

import static brooklock.routing.RouterFixture.MS;
import static brooklock.routing.RouterFixture.PAGE;
import static brooklock.routing.RouterFixture.actionsOfType;
import static brooklock.routing.RouterFixture.firstAttempt;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brooklock.routing.RouterAction.SetTimer;
import brooklock.routing.RouterAction.StartAttempt;
import brooklock.routing.RouterEvent.AttemptCompleted;
import brooklock.routing.RouterEvent.RequestReceived;
import brooklock.routing.RouterEvent.TimerFired;
import brooklock.routing.RouterSettings.RequestClass;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests that what clients declare, sizes and deadlines, moves no learned mean or rate far. */
class ClientFigureTest {
    private static final double ABSURD_SIZE_KB = 999_999_999;
    private static final int MEDIA = 3;
    private static final long SHORT_DEADLINE_NS = 30 * MS;

    // The settings of the fixture with one more class whose responses are cached.
    private static RouterSettings settings() {
        RouterSettings base = RouterFixture.settings(true, IdempotencyScope.ALL);
        List<RequestClass> classes = new ArrayList<>(base.classes());
        classes.add(
                new RequestClass(
                        600 * MS,
                        2,
                        Idempotency.IDEMPOTENT,
                        IdempotencyScope.ALL,
                        0,
                        false,
                        8000 * MS));
        return new RouterSettings(
                classes,
                base.limits(),
                base.safetyLimits(),
                base.dispatcherCount(),
                base.zone(),
                base.parentZoneByZone(),
                base.parentKind(),
                base.originKind(),
                base.weighted(),
                base.watchesEndpointList(),
                base.collapsesRequests(),
                base.directOriginAllowed(),
                base.transferKbPerSecond(),
                base.timerTickNs());
    }

    private static RequestReceived request(
            RouterFixture fixture, int classIndex, long object, double sizeKb, long deadlineNs) {
        return new RequestReceived(
                fixture.newRequest(classIndex, object).id(),
                classIndex,
                object,
                0,
                3,
                sizeKb,
                false,
                fixture.now + deadlineNs);
    }

    private static void serveAbsurdRequest(RouterFixture fixture, long object) {
        StartAttempt attempt =
                firstAttempt(
                        fixture.onEvent(
                                request(fixture, MEDIA, object, ABSURD_SIZE_KB, 3000 * MS)));
        if (attempt != null) {
            fixture.complete(attempt, AttemptOutcome.OK, CacheStatus.HIT, 10);
        }
    }

    /**
     * Guards against a cold cache that is pushed over because a client declares absurd sizes: each
     * answer to it counted as hours of work that warm caches had served, so that the budget of the
     * cold cache never ran out.
     */
    @Test
    void absurdDeclaredSizesDoNotEndTheSlowStartOfACache() {
        RouterFixture fixture = new RouterFixture(settings()).withEndpoints();
        for (int i = 0; i < 4000; i++) {
            fixture.now += 5 * MS;
            fixture.serveRequest(PAGE, i);
        }
        serveAbsurdRequest(fixture, 100_000);
        fixture.changeEndpoints(RouterFixture.cache(12, EndpointState.READY, fixture.now));
        int early = 0;
        for (int i = 0; i < 2000; i++) {
            fixture.now += MS;
            early += fixture.serveRequest(PAGE, i).endpoint() == 12 ? 1 : 0;
            if (i % 100 == 0) {
                serveAbsurdRequest(fixture, 100_001 + i);
            }
        }
        assertTrue(early < 200, "requests sent to the cache, of 500 when warm: " + early);
    }

    /**
     * Guards against a mean work that one client decides: a single absurd size, accepted and
     * served, must move neither the mean of its class nor that of all requests by half.
     */
    @Test
    void oneDeclaredSizeMovesNoMeanFar() {
        WorkEstimator estimator = new WorkEstimator(settings());
        for (int i = 0; i < 200; i++) {
            acceptAndServe(estimator, 50, 20);
        }
        double meanNs = estimator.meanNs();
        double classMeanNs = estimator.classMeanNs(pending(estimator, 50));
        acceptAndServe(estimator, ABSURD_SIZE_KB, 2000);
        assertTrue(estimator.meanNs() < 1.5 * meanNs);
        assertTrue(estimator.classMeanNs(pending(estimator, 50)) < 1.5 * classMeanNs);
    }

    /** Guards against a mean that starts at an absurd size: the first request sets it. */
    @Test
    void theFirstDeclaredSizeCountsForNoMoreThanTheObjectiveOfItsClass() {
        WorkEstimator estimator = new WorkEstimator(settings());
        estimator.onAccepted(pending(estimator, ABSURD_SIZE_KB));
        assertEquals(300 * MS, estimator.meanNs());
    }

    /**
     * Guards against a concurrency limit that one client raises: a response is worth no more work
     * than the time that it took, unless its declared size is an ordinary one.
     */
    @Test
    void aServedResponseCountsForNoMoreWorkThanItsDuration() {
        WorkEstimator estimator = new WorkEstimator(settings());
        PendingRequest absurd = pending(estimator, ABSURD_SIZE_KB);
        assertEquals(60 * MS, absurd.confirmedWorkNs(served(60), 10 * MS));
        assertEquals(70 * MS, absurd.confirmedWorkNs(served(60), 70 * MS));
        assertEquals(10 * MS, pending(estimator, 50).confirmedWorkNs(served(5), 10 * MS));
    }

    private static PendingRequest pending(WorkEstimator estimator, double sizeKb) {
        RequestReceived event = new RequestReceived(1, PAGE, 1, 0, 3, sizeKb, false, 3000 * MS);
        ObjectDemand demand = new ObjectDemand();
        return new PendingRequest(
                event,
                settings().classes().get(PAGE),
                demand,
                false,
                estimator.estimate(event, demand),
                0,
                2900 * MS);
    }

    private static AttemptCompleted served(long durationMs) {
        return new AttemptCompleted(
                1, 0, 11, AttemptOutcome.OK, CacheStatus.HIT, durationMs * MS, 0, true);
    }

    private static void acceptAndServe(WorkEstimator estimator, double sizeKb, long durationMs) {
        PendingRequest request = pending(estimator, sizeKb);
        estimator.onAccepted(request);
        estimator.onSuccess(request, served(durationMs));
    }

    /**
     * Guards against endpoints that are ejected because clients wait too briefly: time-outs of
     * requests whose deadline is shorter than the latency objective say nothing about an endpoint.
     */
    @Test
    void shortDeadlinesEjectNoEndpoint() {
        RouterFixture fixture = new RouterFixture().withEndpoints();
        Set<Long> endpoints = new HashSet<>();
        for (int i = 0; i < 40; i++) {
            StartAttempt attempt =
                    firstAttempt(
                            fixture.onEvent(request(fixture, PAGE, 42, 50, SHORT_DEADLINE_NS)));
            endpoints.add(attempt.endpoint());
            fixture.now += SHORT_DEADLINE_NS;
            fixture.complete(attempt, AttemptOutcome.TIMEOUT, CacheStatus.NONE, 30);
        }
        assertEquals(1, endpoints.size(), "the object stays at its cache");
    }

    /**
     * Guards against hedging that clients with short deadlines switch on: their responses are not
     * lost, they had no time to arrive.
     */
    @Test
    void shortDeadlinesDoNotCountAsLostResponses() {
        RouterFixture fixture = new RouterFixture().withEndpoints();
        for (int i = 0; i < 20; i++) {
            RequestReceived hasty = request(fixture, PAGE, 100 + i, 50, SHORT_DEADLINE_NS);
            List<RouterAction> actions = fixture.onEvent(hasty);
            fixture.now += 5 * MS;
            fixture.serveRequest(PAGE, 100 + i);
            SetTimer finalResponseTimer = actionsOfType(actions, SetTimer.class).get(0);
            fixture.now = finalResponseTimer.atNs();
            fixture.onEvent(new TimerFired(finalResponseTimer.token()));
            fixture.onEvent(
                    new AttemptCompleted(
                            hasty.id(),
                            0,
                            firstAttempt(actions).endpoint(),
                            AttemptOutcome.CANCELLED,
                            CacheStatus.NONE,
                            SHORT_DEADLINE_NS,
                            0,
                            true));
        }
        List<RouterAction> actions = fixture.onEvent(fixture.newRequest(PAGE, 500));
        fixture.now += 20 * MS;
        fixture.serveRequest(PAGE, 500);
        SetTimer hedgeTimer = actionsOfType(actions, SetTimer.class).get(1);
        fixture.now = hedgeTimer.atNs();
        assertNull(firstAttempt(fixture.onEvent(new TimerFired(hedgeTimer.token()))));
    }
}
