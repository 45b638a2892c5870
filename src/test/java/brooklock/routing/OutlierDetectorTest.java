package brooklock.routing;

import static brooklock.routing.RouterFixture.MS;
import static brooklock.routing.RouterFixture.PAGE;
import static brooklock.routing.RouterFixture.firstAttempt;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brooklock.routing.RouterAction.StartAttempt;
import brooklock.routing.RouterEvent.AttemptCompleted;
import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests when endpoints are ejected and to which endpoints errors are attributed. */
class OutlierDetectorTest {
    /**
     * One cache responds with errors immediately. It looks less loaded than the others and would
     * attract requests.
     */
    @Test
    void aCacheThatFailsFastIsEjectedAfterAFewErrors() {
        RouterFixture fixture = new RouterFixture().withEndpoints();
        int errors = 0;
        for (int i = 0; i < 200; i++) {
            fixture.now += 10 * MS;
            StartAttempt attempt = fixture.startRequest(PAGE, i);
            if (attempt.endpoint() == 12) {
                errors++;
                attempt =
                        firstAttempt(
                                fixture.complete(
                                        attempt, AttemptOutcome.ERROR, CacheStatus.NONE, 1));
            }
            if (attempt != null) {
                fixture.complete(attempt, AttemptOutcome.OK, CacheStatus.HIT, 10);
            }
        }
        assertTrue(
                errors >= 2 && errors < 8, "errors in about 50 requests for the cache: " + errors);
    }

    /**
     * Clients send requests that every endpoint answers with an error. The endpoints are healthy:
     * none may be ejected, no object may move to another cache, and each such request must end
     * after at most three endpoints.
     */
    @Test
    void requestsThatNoEndpointCanServeEjectNone() {
        RouterFixture fixture = new RouterFixture().withEndpoints();
        Map<Long, Long> firstEndpoints = new HashMap<>();
        int moved = 0;
        for (int i = 0; i < 400; i++) {
            fixture.now += 20 * MS;
            long object = i % 40;
            StartAttempt good = fixture.serveRequest(PAGE, object);
            moved +=
                    firstEndpoints.computeIfAbsent(object, k -> good.endpoint()) == good.endpoint()
                            ? 0
                            : 1;
            if (i % 8 == 0) {
                int attempts = 0;
                StartAttempt bad = fixture.startRequest(PAGE, 1000 + i);
                for (; bad != null; attempts++) {
                    bad =
                            firstAttempt(
                                    fixture.complete(
                                            bad, AttemptOutcome.ERROR, CacheStatus.NONE, 1));
                }
                assertTrue(attempts <= 3, attempts + " endpoints tried");
            }
        }
        assertEquals(0, moved);
    }

    /**
     * A fill source rejects a fill. The cache is not at fault, so the next attempt must name
     * another fill source.
     */
    @Test
    void aFailedFillIsAttributedToTheFillSource() {
        RouterFixture fixture = new RouterFixture().withEndpoints();
        StartAttempt first = fixture.startRequest(PAGE, 42);
        StartAttempt next =
                firstAttempt(
                        fixture.complete(
                                first,
                                AttemptOutcome.OVERLOADED,
                                CacheStatus.FILL_SOURCE_REJECTED,
                                5));
        assertNotNull(next);
        assertNotEquals(first.fillSource(), next.fillSource());
    }

    /**
     * The origin fails behind the parent for the objects of one cache. That cache is healthy and
     * must keep its share of the requests.
     */
    @Test
    void anOriginThatFailsBehindTheParentDoesNotEjectTheCache() {
        RouterFixture fixture = new RouterFixture().withEndpoints();
        int sent = 0;
        for (int i = 0; i < 60; i++) {
            fixture.now += 5 * MS;
            StartAttempt attempt = fixture.startRequest(PAGE, i);
            boolean failing = attempt.endpoint() == 12;
            sent += failing ? 1 : 0;
            StartAttempt next =
                    firstAttempt(
                            fixture.complete(
                                    attempt,
                                    failing ? AttemptOutcome.ERROR : AttemptOutcome.OK,
                                    failing ? CacheStatus.ORIGIN_FAILED : CacheStatus.HIT,
                                    5));
            if (next != null) {
                fixture.complete(next, AttemptOutcome.OK, CacheStatus.HIT, 5);
            }
        }
        assertTrue(sent > 8, "requests sent to the cache, of about 15: " + sent);
    }

    /**
     * A parent fails for minutes. With a health check each second it would get most of this
     * dispatcher's fills, so the pause between health checks must grow.
     */
    @Test
    void aParentThatKeepsFailingIsCheckedAtGrowingIntervals() {
        RouterFixture fixture = new RouterFixture().withEndpoints();
        int late = 0;
        for (int i = 0; i < 120; i++) {
            fixture.now += 500 * MS;
            StartAttempt attempt = fixture.startRequest(PAGE, 2000 + i);
            if (attempt.fillSource() == 801) {
                late += i >= 40 ? 1 : 0;
                attempt =
                        firstAttempt(
                                fixture.onEvent(
                                        new AttemptCompleted(
                                                attempt.id(),
                                                0,
                                                attempt.endpoint(),
                                                AttemptOutcome.ERROR,
                                                CacheStatus.FILL_SOURCE_CONNECTION_LOST,
                                                600 * MS,
                                                600 * MS,
                                                false)));
            }
            if (attempt != null) {
                fixture.complete(attempt, AttemptOutcome.OK, CacheStatus.FILLED_BY_PARENT, 20);
            }
        }
        assertTrue(late >= 1 && late <= 6, "health checks in 40 s: " + late);
    }

    /** A parent responds to fills, but late. It must be ejected before its fills fail. */
    @Test
    void aSlowParentIsEjectedBeforeItFails() {
        RouterFixture fixture = new RouterFixture().withEndpoints();
        int late = 0;
        for (int i = 0; i < 60; i++) {
            fixture.now += 500 * MS;
            StartAttempt attempt = fixture.startRequest(PAGE, 2000 + i);
            boolean slow = attempt.fillSource() == 801;
            late += i >= 20 && slow ? 1 : 0;
            fixture.complete(
                    attempt, AttemptOutcome.OK, CacheStatus.FILLED_BY_PARENT, slow ? 2000 : 20);
        }
        assertTrue(late <= 6, "fills from the slow parent in 20 s: " + late);
    }
}
