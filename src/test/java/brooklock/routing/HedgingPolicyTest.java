package brooklock.routing;

import static brooklock.routing.RouterFixture.MS;
import static brooklock.routing.RouterFixture.PAGE;
import static brooklock.routing.RouterFixture.actionsOfType;
import static brooklock.routing.RouterFixture.firstAttempt;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brooklock.routing.RouterAction.SetTimer;
import brooklock.routing.RouterAction.StartAttempt;
import brooklock.routing.RouterEvent.AttemptCompleted;
import brooklock.routing.RouterEvent.RequestReceived;
import brooklock.routing.RouterEvent.TimerFired;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests when a second attempt is started beside the first. */
class HedgingPolicyTest {
    @Test
    void noRequestIsHedgedIfHedgingIsNotAllowed() {
        RouterFixture fixture =
                new RouterFixture(RouterFixture.settings(false, IdempotencyScope.ALL))
                        .withEndpoints();
        List<RouterAction> actions = fixture.onEvent(fixture.newRequest(PAGE, 42));
        assertEquals(
                1,
                actionsOfType(actions, SetTimer.class).size(),
                "only the timer of the final response");
    }

    /**
     * Endpoints become unresponsive: several requests stay open without any outcome. Those requests
     * must be hedged. A single late request must not be hedged, because a second attempt would load
     * a congested link twice.
     */
    @Test
    void aRequestIsHedgedIfItsEndpointIsUnresponsiveButNotIfItIsOnlyLate() {
        RouterFixture fixture = new RouterFixture().withEndpoints();
        List<RouterAction> actions = fixture.onEvent(fixture.newRequest(PAGE, 42));
        StartAttempt first = firstAttempt(actions);
        SetTimer hedgeTimer = actionsOfType(actions, SetTimer.class).get(1);
        fixture.now = hedgeTimer.atNs();
        assertNull(
                firstAttempt(fixture.onEvent(new TimerFired(hedgeTimer.token()))),
                "late, but not at an unresponsive endpoint");
        List<SetTimer> timers = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            timers.addAll(
                    actionsOfType(fixture.onEvent(fixture.newRequest(PAGE, i)), SetTimer.class));
        }
        fixture.now += 1200 * MS;
        int hedged = 0;
        for (SetTimer timer : timers) {
            if (timer.atNs() <= fixture.now) {
                List<RouterAction> fired = fixture.onEvent(new TimerFired(timer.token()));
                hedged += actionsOfType(fired, StartAttempt.class).size();
            }
        }
        assertTrue(hedged > 0, "first endpoint " + first.endpoint());
    }

    /**
     * Responses are lost on the network while their caches respond to other requests. Once the rate
     * of lost responses is known, requests whose response is lost must be sent again to the same
     * cache, which has the copy. No limit may be lowered, because no link was late.
     */
    @Test
    void aRequestWhoseResponseIsLostIsHedgedAtTheSameCache() {
        RouterFixture fixture = new RouterFixture().withEndpoints();
        assertNull(hedgeOf(fixture, 500), "nothing has been lost so far");
        for (int i = 0; i < 8; i++) {
            RequestReceived lost = fixture.newRequest(PAGE, 100 + i);
            List<RouterAction> actions = fixture.onEvent(lost);
            long endpoint = firstAttempt(actions).endpoint();
            fixture.now += 20 * MS;
            assertEquals(endpoint, fixture.serveRequest(PAGE, 100 + i).endpoint());
            SetTimer finalResponseTimer = actionsOfType(actions, SetTimer.class).get(0);
            fixture.now = finalResponseTimer.atNs();
            fixture.onEvent(new TimerFired(finalResponseTimer.token()));
            fixture.onEvent(
                    new AttemptCompleted(
                            lost.id(),
                            0,
                            endpoint,
                            AttemptOutcome.CANCELLED,
                            CacheStatus.NONE,
                            2900 * MS,
                            0,
                            true));
        }
        assertNotNull(hedgeOf(fixture, 600));
        assertNotNull(fixture.startRequest(PAGE, 700), "lost responses lower no limit");
    }

    /**
     * Passes a request to the router, has its cache respond to another one, and returns the hedged
     * attempt that follows, or null if there is none.
     */
    private static StartAttempt hedgeOf(RouterFixture fixture, long object) {
        List<RouterAction> actions = fixture.onEvent(fixture.newRequest(PAGE, object));
        fixture.now += 20 * MS;
        fixture.serveRequest(PAGE, object);
        SetTimer hedgeTimer = actionsOfType(actions, SetTimer.class).get(1);
        fixture.now = hedgeTimer.atNs();
        StartAttempt second = firstAttempt(fixture.onEvent(new TimerFired(hedgeTimer.token())));
        assertTrue(second == null || second.endpoint() == firstAttempt(actions).endpoint());
        return second;
    }
}
