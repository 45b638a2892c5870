package brooklock.routing;

import static brooklock.routing.RouterFixture.MS;
import static brooklock.routing.RouterFixture.PAGE;
import static brooklock.routing.RouterFixture.firstAttempt;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brooklock.routing.RouterAction.StartAttempt;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** How much an endpoint gets that is warming up. */
class SlowStartTest {
    /**
     * A cache has just started, with a fifth of its capacity. Its full share would make it
     * collapse.
     */
    @Test
    void aCacheThatIsWarmingUpGetsASmallShareThatGrows() {
        RouterFixture fixture = new RouterFixture().withEndpoints();
        measureRates(fixture);
        fixture.changeEndpoints(RouterFixture.cache(12, EndpointState.READY, fixture.now));
        long early = countRequestsServedBy(fixture, 12, 2000);
        fixture.now += 10_000 * MS;
        long late = countRequestsServedBy(fixture, 12, 2000);
        assertTrue(early < 200, "of 500 due: " + early);
        assertTrue(late > early, early + " then " + late);
    }

    /**
     * A cache dies and is back before the endpoint list says so. Its lost connections show it, so
     * it gets a slow start all the same.
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
        assertTrue(early < 200, "of 500 due: " + early);
        fixture.now += 16_000 * MS;
        assertTrue(countRequestsServedBy(fixture, 12, 2000) > 300);
    }

    /**
     * All warm caches of the zone leave while one is warming up. Their load is measured as the rate
     * of those that took it, not of the one that is left: its budget must not jump.
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
        assertTrue(sent > 10 && sent < 100, "of 200, where a warm peer took 50: " + sent);
    }

    /**
     * A parent has just started. Fills go to the other one as far as its budget does not cover
     * them.
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
        assertTrue(named < 250, "of 500 due: " + named);
    }

    /**
     * One cache, then a rack of three, starts under a hundred dispatchers that exchange no message.
     * Their budgets hold in sum: none of the caches gets more than the overload multiple of its
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
                    restarted + " restarted: " + warming + " of " + warm);
            assertTrue(warming > 0, "they are used as far as the budget goes");
        }
    }

    /** Lets the router measure what warm caches and parents take. */
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
     * Each router gets two requests a second for so long, served at once; counts those to [from,
     * to).
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
