package brooklock.routing;

import static brooklock.routing.RouterFixture.MS;
import static brooklock.routing.RouterFixture.PAGE;
import static brooklock.routing.RouterFixture.firstAttempt;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brooklock.routing.RouterAction.StartAttempt;
import brooklock.routing.RouterEvent.AttemptCompleted;
import brooklock.routing.RouterEvent.ClientDisconnected;
import brooklock.routing.RouterEvent.RequestReceived;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests which tiers requests may use while links are congested. */
class FillAdmissionTest {
    /**
     * Fills are late because the link into the zone is congested. Requests must be limited to
     * cached copies first, so that hits are still served.
     */
    @Test
    void requestsAreLimitedToCachedCopiesWhileTheFillLinkIsCongested() {
        RouterFixture fixture = new RouterFixture().withEndpoints();
        congestFillLink(fixture);
        boolean cachedOnly = false;
        for (int i = 0; i < 30; i++) {
            StartAttempt attempt = fixture.startRequest(PAGE, 5000 + i);
            cachedOnly |= attempt != null && !attempt.fillsOnMiss();
        }
        assertTrue(cachedOnly);
    }

    /**
     * Clients disconnect early and connections are established late. Neither shows that a link is
     * slow, so no limit may be lowered and fills must stay admitted.
     */
    @Test
    void disconnectedClientsAndAttemptsNeverStartedLowerNoLimit() {
        RouterFixture fixture = new RouterFixture().withEndpoints();
        for (int i = 0; i < 300; i++) {
            RequestReceived request = withoutSize(fixture.newRequest(PAGE, 7000 + i));
            StartAttempt attempt = firstAttempt(fixture.onEvent(request));
            fixture.now += 20 * MS;
            fixture.onEvent(new ClientDisconnected(request.id()));
            fixture.onEvent(
                    new AttemptCompleted(
                            request.id(),
                            0,
                            attempt.endpoint(),
                            AttemptOutcome.CANCELLED,
                            CacheStatus.NONE,
                            20 * MS,
                            0,
                            true));
            StartAttempt late = fixture.startRequest(PAGE, 9000 + i);
            fixture.now += 700 * MS;
            AttemptOutcome outcome =
                    i % 2 == 0 ? AttemptOutcome.NOT_STARTED : AttemptOutcome.CONNECT_FAILED;
            fixture.complete(late, outcome, CacheStatus.NONE, 700);
        }
        for (int i = 0; i < 20; i++) {
            RequestReceived request = withoutSize(fixture.newRequest(PAGE, 12_000 + i));
            StartAttempt attempt = firstAttempt(fixture.onEvent(request));
            assertTrue(attempt.fillsOnMiss(), "the attempt allows a fill");
        }
    }

    /**
     * The origin fails. Each dispatcher keeps admitting a few requests to it to detect its
     * recovery. With hundreds of dispatchers, these requests would add up to a considerable load,
     * so each dispatcher may send only its share of them.
     */
    @Test
    void theMinimaOfAllDispatchersAtTheOriginAddUpToFewRequests() {
        assertFalse(onlyIfCachedAfterOriginFailures(4));
        assertTrue(onlyIfCachedAfterOriginFailures(400));
    }

    /**
     * The origin's limit is smaller than one request. Its capacity must be used for objects that
     * are requested again; requests for other objects must not be admitted to the origin.
     */
    @Test
    void onlyHotObjectsAreFilledWhileTheOriginLimitIsSmallerThanARequest() {
        RouterFixture fixture = afterOriginFailures(400);
        fixture.now += 5000 * MS;
        assertTrue(
                fixture.startRequest(PAGE, 1059).fillSource() >= 801
                        && !fixture.serveRequest(PAGE, 1059).onlyIfCached(),
                "an object requested before is filled from the origin");
        fixture.now += 5000 * MS;
        assertTrue(
                fixture.serveRequest(PAGE, 6000).onlyIfCached(),
                "an object requested once is not filled from the origin");
    }

    private static RequestReceived withoutSize(RequestReceived request) {
        return new RequestReceived(
                request.id(),
                request.classIndex(),
                request.object(),
                request.part(),
                request.group(),
                0,
                request.clientRetry(),
                request.deadlineNs());
    }

    private static void congestFillLink(RouterFixture fixture) {
        for (int round = 0; round < 30; round++) {
            List<StartAttempt> attempts = new ArrayList<>();
            for (int i = 0; i < 10; i++) {
                StartAttempt attempt = fixture.startRequest(PAGE, round * 100 + i);
                if (attempt != null) {
                    attempts.add(attempt);
                }
            }
            fixture.now += 1500 * MS;
            for (StartAttempt attempt : attempts) {
                fixture.complete(attempt, AttemptOutcome.OK, CacheStatus.FILLED_BY_PARENT, 1500);
            }
        }
    }

    private static boolean onlyIfCachedAfterOriginFailures(int dispatchers) {
        RouterFixture fixture = afterOriginFailures(dispatchers);
        fixture.now += MS;
        return fixture.startRequest(PAGE, 5000).onlyIfCached();
    }

    private static RouterFixture afterOriginFailures(int dispatchers) {
        RouterFixture fixture =
                new RouterFixture(RouterFixture.settings(true, IdempotencyScope.ALL, dispatchers))
                        .withEndpoints();
        for (int i = 0; i < 60; i++) {
            fixture.now += 100 * MS;
            StartAttempt attempt = fixture.startRequest(PAGE, 1000 + i);
            while (attempt != null) {
                boolean cachedOnly = attempt.onlyIfCached() || !attempt.fillsOnMiss();
                attempt =
                        firstAttempt(
                                fixture.complete(
                                        attempt,
                                        cachedOnly
                                                ? AttemptOutcome.CACHE_MISS
                                                : AttemptOutcome.OVERLOADED,
                                        cachedOnly ? CacheStatus.NONE : CacheStatus.ORIGIN_FAILED,
                                        50));
            }
        }
        return fixture;
    }
}
