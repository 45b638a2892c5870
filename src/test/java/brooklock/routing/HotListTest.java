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

/** Which objects are cached at the edge, and with which priority. */
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
                "a whole interval passed without it");
    }

    /**
     * A dispatcher has just started and has no list yet, so every object looks as if it were
     * requested once. Copies are cached all the same, at the lowest priority, until the first
     * interval has passed.
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
     * A client is rejected and comes again. Its retry is no second interest in the object, so the
     * object must not take a place in a cache.
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

    /** One object takes most of the traffic. On one cache it would fill that cache's link alone. */
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
