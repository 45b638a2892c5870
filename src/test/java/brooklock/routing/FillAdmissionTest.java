package brooklock.routing;

import static brooklock.routing.RouterFixture.MS;
import static brooklock.routing.RouterFixture.PAGE;
import static brooklock.routing.RouterFixture.attemptIn;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brooklock.routing.RouterAction.StartAttempt;
import brooklock.routing.RouterEvent.AttemptCompleted;
import brooklock.routing.RouterEvent.ClientDisconnected;
import brooklock.routing.RouterEvent.RequestReceived;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** How far requests may reach while links are jammed. */
class FillAdmissionTest {
    /**
     * Fills come late: the link into the zone is jammed. Requests look for a cached copy first, so
     * that hits are served however jammed the fills are.
     */
    @Test
    void aJammedFillLinkIsSparedAndHitsAreStillServed() {
        RouterFixture fixture = new RouterFixture().withEndpoints();
        jamFillLink(fixture);
        boolean cachedOnly = false;
        for (int i = 0; i < 30; i++) {
            StartAttempt attempt = fixture.request(PAGE, 5000 + i);
            cachedOnly |= attempt != null && !attempt.fillsOnMiss();
        }
        assertTrue(cachedOnly);
    }

    /**
     * Clients leave early and connections come up late. Neither says that a link is slow, so no
     * limit may shut and requests reach as far as before.
     */
    @Test
    void clientsThatLeaveAndAttemptsThatNeverStartedShutNoLink() {
        RouterFixture fixture = new RouterFixture().withEndpoints();
        for (int i = 0; i < 300; i++) {
            RequestReceived request = withoutSize(fixture.newRequest(PAGE, 7000 + i));
            StartAttempt attempt = attemptIn(fixture.onEvent(request));
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
            StartAttempt late = fixture.request(PAGE, 9000 + i);
            fixture.now += 700 * MS;
            AttemptOutcome outcome =
                    i % 2 == 0 ? AttemptOutcome.NOT_STARTED : AttemptOutcome.CONNECT_FAILED;
            fixture.complete(late, outcome, CacheStatus.NONE, 700);
        }
        for (int i = 0; i < 20; i++) {
            RequestReceived request = withoutSize(fixture.newRequest(PAGE, 12_000 + i));
            StartAttempt attempt = attemptIn(fixture.onEvent(request));
            assertTrue(attempt.fillsOnMiss(), "a fill is allowed with the request");
        }
    }

    /**
     * The origin fails. Each dispatcher keeps its limit open for a few requests to notice the end;
     * of hundreds of dispatchers these would be a load again, so each has only its part.
     */
    @Test
    void theFloorsOfManyDispatchersAtTheOriginAddUpToFewRequests() {
        assertFalse(onlyIfCachedAfterOriginFailures(4));
        assertTrue(onlyIfCachedAfterOriginFailures(400));
    }

    /**
     * The origin's limit is narrower than one request. What little it takes goes to objects that
     * are requested again; others wait.
     */
    @Test
    void onlyHotObjectsAreFilledWhileTheOriginsLimitIsNarrowerThanOne() {
        RouterFixture fixture = afterOriginFailures(400);
        fixture.now += 5000 * MS;
        assertTrue(
                fixture.request(PAGE, 1059).fillSource() >= 801
                        && !fixture.requestServed(PAGE, 1059).onlyIfCached(),
                "requested before: hot");
        fixture.now += 5000 * MS;
        assertTrue(fixture.requestServed(PAGE, 6000).onlyIfCached(), "requested once");
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

    private static void jamFillLink(RouterFixture fixture) {
        for (int round = 0; round < 30; round++) {
            List<StartAttempt> attempts = new ArrayList<>();
            for (int i = 0; i < 10; i++) {
                StartAttempt attempt = fixture.request(PAGE, round * 100 + i);
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
        return fixture.request(PAGE, 5000).onlyIfCached();
    }

    private static RouterFixture afterOriginFailures(int dispatchers) {
        RouterFixture fixture =
                new RouterFixture(RouterFixture.settings(true, IdempotencyScope.ALL, dispatchers))
                        .withEndpoints();
        for (int i = 0; i < 60; i++) {
            fixture.now += 100 * MS;
            StartAttempt attempt = fixture.request(PAGE, 1000 + i);
            while (attempt != null) {
                boolean cachedOnly = attempt.onlyIfCached() || !attempt.fillsOnMiss();
                attempt =
                        attemptIn(
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
