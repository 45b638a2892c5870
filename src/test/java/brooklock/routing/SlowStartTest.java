package brooklock.routing;

import static brooklock.routing.RouterFixture.MS;
import static brooklock.routing.RouterFixture.PAGE;
import static brooklock.routing.RouterFixture.firstAttempt;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brooklock.routing.RouterAction.StartAttempt;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests how many requests an endpoint gets while it is warming up. */
class SlowStartTest {
    /**
     * A cache has just started with a fifth of its capacity. Its full share of the requests would
     * make it collapse.
     */
    @Test
    void aCacheThatIsWarmingUpGetsASmallShareThatGrows() {
        RouterFixture fixture = new RouterFixture().withEndpoints();
        measureRates(fixture);
        fixture.changeEndpoints(RouterFixture.cache(12, EndpointState.READY, fixture.now));
        long early = countRequestsServedBy(fixture, 12, 2000);
        fixture.now += 10_000 * MS;
        long late = countRequestsServedBy(fixture, 12, 2000);
        assertTrue(early < 200, "requests sent to the cache, of 500 when warm: " + early);
        assertTrue(late > early, early + " requests, then " + late);
    }

    /**
     * A cache restarts before the endpoint list reports it. The restart must be inferred from its
     * lost connections, and the cache must then be slow-started.
     */
    @Test
    void aCacheWhoseConnectionsAreResetWarmsUpWhenItRespondsAgain() {
        RouterFixture fixture = new RouterFixture().withEndpoints();
        measureRates(fixture);
        int resets = 0;
        for (int i = 0; resets < 4 && i < 4000; i++) {
            fixture.now += 5 * MS;
            StartAttempt attempt = fixture.startRequest(PAGE, i);
            boolean reset = attempt.endpoint() == 12;
            resets += reset ? 1 : 0;
            AttemptOutcome outcome = reset ? AttemptOutcome.RESET : AttemptOutcome.OK;
            StartAttempt next =
                    firstAttempt(fixture.complete(attempt, outcome, CacheStatus.HIT, 1));
            if (next != null) {
                fixture.complete(next, AttemptOutcome.OK, CacheStatus.HIT, 1);
            }
        }
        fixture.now += 1500 * MS;
        long early = countRequestsServedBy(fixture, 12, 2000);
        assertTrue(early < 200, "requests sent to the cache, of 500 when warm: " + early);
        fixture.now += 16_000 * MS;
        assertTrue(countRequestsServedBy(fixture, 12, 2000) > 300);
    }

    /**
     * All warm caches of the zone leave while another is warming up. The rate at which its budget
     * is refilled was measured while its peers were warm, and must not jump when they leave.
     */
    @Test
    void aCacheThatIsWarmingUpGetsNoMoreWhenItsWarmPeersLeave() {
        RouterFixture fixture = new RouterFixture().withEndpoints();
        measureRates(fixture);
        fixture.changeEndpoints(
                RouterFixture.cache(12, EndpointState.READY, fixture.now - 10_000 * MS));
        fixture.changeEndpoints(
                RouterFixture.cache(11, EndpointState.DRAINING, 0),
                RouterFixture.cache(13, EndpointState.DRAINING, 0),
                RouterFixture.cache(14, EndpointState.DRAINING, 0));
        long sent = 0;
        for (int i = 0; i < 200; i++) {
            fixture.now += 5 * MS;
            StartAttempt attempt = fixture.startRequest(PAGE, i);
            sent += attempt != null && attempt.endpoint() == 12 ? 1 : 0;
        }
        assertTrue(
                sent > 10 && sent < 100,
                "requests sent to the cache, of 200 (50 when warm): " + sent);
    }

    /**
     * A parent has just started. Fills that its budget does not cover must go to the other parent.
     */
    @Test
    void aParentThatIsWarmingUpIsPassedOver() {
        RouterFixture fixture = new RouterFixture().withEndpoints();
        measureRates(fixture);
        fixture.changeEndpoints(RouterFixture.parent(801, EndpointState.READY, fixture.now));
        long named = 0;
        for (int i = 0; i < 1000; i++) {
            fixture.now += 5 * MS;
            StartAttempt attempt = fixture.startRequest(PAGE, i);
            named += attempt.fillSource() == 801 ? 1 : 0;
            fixture.complete(attempt, AttemptOutcome.OK, CacheStatus.FILLED_BY_PARENT, 20);
        }
        assertTrue(named < 250, "fills from the parent, of 500 when warm: " + named);
    }

    /**
     * One cache, and then three at once, restart under a hundred dispatchers that exchange no
     * messages. Together their budgets must keep each cache below the overload multiple of its
     * capacity.
     */
    @Test
    void theBudgetsOfAllDispatchersTogetherStayBelowTheOverloadMultiple() {
        for (int restarted = 1; restarted <= 3; restarted += 2) {
            List<RouterFixture> dispatchers = new ArrayList<>();
            for (int i = 0; i < 100; i++) {
                dispatchers.add(new RouterFixture().withEndpoints());
            }
            int warm = countAttemptsTo(dispatchers, 11, 15, 20, 0) / 4 / 20;
            for (RouterFixture dispatcher : dispatchers) {
                for (long id = 15L - restarted; id <= 14; id++) {
                    dispatcher.changeEndpoints(
                            RouterFixture.cache(id, EndpointState.READY, dispatcher.now));
                }
            }
            int warming = countAttemptsTo(dispatchers, 15 - restarted, 15, 4, 100) / restarted;
            assertTrue(
                    warming <= 2 * 4 * warm * (0.2 + 0.8 * 4 / 15),
                    restarted
                            + " restarted: "
                            + warming
                            + " requests each in 4 s; per s when warm: "
                            + warm);
            assertTrue(warming > 0, "caches that are warming up are used within their budgets");
        }
    }

    /** Has the router measure the work that warm caches and parents serve. */
    private static void measureRates(RouterFixture fixture) {
        for (int i = 0; i < 4000; i++) {
            fixture.now += 5 * MS;
            fixture.complete(
                    fixture.startRequest(PAGE, i),
                    AttemptOutcome.OK,
                    CacheStatus.FILLED_BY_PARENT,
                    20);
        }
    }

    private static long countRequestsServedBy(RouterFixture fixture, long endpoint, int requests) {
        long sent = 0;
        for (int i = 0; i < requests; i++) {
            fixture.now += MS;
            sent += fixture.serveRequest(PAGE, i).endpoint() == endpoint ? 1 : 0;
        }
        return sent;
    }

    /**
     * Sends two requests a second, served at once, through each router for the given number of
     * seconds. Returns the number of requests sent to endpoints from {@code from}, inclusive, to
     * {@code to}, exclusive.
     *
     * @param offset added to the object identifiers, so that a later call requests other objects
     */
    private static int countAttemptsTo(
            List<RouterFixture> dispatchers, long from, long to, int seconds, int offset) {
        int count = 0;
        for (int i = 0; i < 2 * seconds; i++) {
            for (RouterFixture dispatcher : dispatchers) {
                dispatcher.now += 500 * MS;
                long object = 10_000 + 7919L * dispatchers.indexOf(dispatcher) + offset + i;
                StartAttempt attempt = dispatcher.serveRequest(PAGE, object);
                count +=
                        attempt != null && attempt.endpoint() >= from && attempt.endpoint() < to
                                ? 1
                                : 0;
            }
        }
        return count;
    }
}
