package brooklock.routing;

import static brooklock.routing.RouterFixture.MS;
import static brooklock.routing.RouterFixture.PAGE;
import static brooklock.routing.RouterFixture.actionsOfType;
import static brooklock.routing.RouterFixture.firstAttempt;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brooklock.routing.RouterAction.RejectRequest;
import brooklock.routing.RouterAction.StartAttempt;
import brooklock.routing.RouterEvent.RequestReceived;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests which objects are cached at the edge, and with which priority. */
class HotListTest {
    @Test
    void anObjectIsCachedFromItsSecondRequestOn() {
        RouterFixture fixture = new RouterFixture().withEndpoints();
        StartAttempt first = fixture.serveRequest(PAGE, 42);
        assertEquals(0, first.cachePriority());
        assertTrue(first.fillSource() == 801 || first.fillSource() == 802);
        StartAttempt second = fixture.serveRequest(PAGE, 42);
        assertEquals(2, second.cachePriority());
        assertEquals(first.endpoint(), second.endpoint());
        assertEquals(first.fillSource(), second.fillSource());
    }

    @Test
    void anObjectOfThePreviousIntervalIsHotInThisOneOnly() {
        RouterFixture fixture = new RouterFixture().withEndpoints();
        fixture.serveRequest(PAGE, 42);
        fixture.now += 10_000 * MS;
        assertEquals(2, fixture.serveRequest(PAGE, 42).cachePriority());
        fixture.now += 20_000 * MS;
        assertEquals(
                0,
                fixture.serveRequest(PAGE, 42).cachePriority(),
                "a whole interval has passed without a request for the object");
    }

    /**
     * A dispatcher has just started and has no hot list yet, so every object seems to be requested
     * only once. Until the first interval has passed, copies must be cached nonetheless, at the
     * lowest priority.
     */
    @Test
    void copiesAreCachedAtTheLowestPriorityInTheFirstInterval() {
        RouterFixture fixture = new RouterFixture().withEndpoints();
        fixture.router.start(fixture.now, new ArrayList<>());
        assertEquals(1, fixture.serveRequest(PAGE, 42).cachePriority());
        assertEquals(2, fixture.serveRequest(PAGE, 42).cachePriority());
        fixture.now += 10_000 * MS;
        assertEquals(0, fixture.serveRequest(PAGE, 43).cachePriority());
    }

    @Test
    void partsInAscendingOrderCountAsOneRequest() {
        RouterFixture fixture = new RouterFixture().withEndpoints();
        for (int part = 0; part < 4; part++) {
            RequestReceived whole = fixture.newRequest(PAGE, 42);
            RequestReceived request =
                    new RequestReceived(
                            whole.id(), PAGE, 42, part, 3, 50, false, whole.deadlineNs());
            StartAttempt attempt = firstAttempt(fixture.onEvent(request));
            assertEquals(0, attempt.cachePriority(), "part " + part);
            fixture.complete(attempt, AttemptOutcome.OK, CacheStatus.HIT, 10);
        }
        assertEquals(2, fixture.serveRequest(PAGE, 42).cachePriority());
    }

    /**
     * A client repeats a rejected request. The retry does not show that the object is requested
     * more often, so it must not be cached.
     */
    @Test
    void theRetryOfARejectedRequestDoesNotMakeItsObjectHot() {
        RouterFixture fixture = new RouterFixture();
        assertEquals(
                1,
                actionsOfType(fixture.onEvent(fixture.newRequest(PAGE, 42)), RejectRequest.class)
                        .size(),
                "no endpoint is known");
        fixture.withEndpoints();
        assertEquals(0, fixture.serveRequest(PAGE, 42).cachePriority());
    }

    /** One object gets most of the requests. On a single cache it would fill that cache's link. */
    @Test
    void aVeryHotObjectIsSpreadOverMoreCaches() {
        RouterFixture fixture = new RouterFixture().withEndpoints();
        Set<Long> endpoints = new HashSet<>();
        for (int i = 0; i < 100; i++) {
            endpoints.add(fixture.startRequest(PAGE, 42).endpoint());
        }
        assertTrue(endpoints.size() >= 2);
    }
}
