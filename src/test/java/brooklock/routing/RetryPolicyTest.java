package brooklock.routing;

import static brooklock.routing.RouterFixture.KEYED;
import static brooklock.routing.RouterFixture.MS;
import static brooklock.routing.RouterFixture.NOT_IDEMPOTENT;
import static brooklock.routing.RouterFixture.ORIGIN_ID;
import static brooklock.routing.RouterFixture.PAGE;
import static brooklock.routing.RouterFixture.actionsOfType;
import static brooklock.routing.RouterFixture.firstAttempt;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import brooklock.routing.RouterAction.FailRequest;
import brooklock.routing.RouterAction.RejectRequest;
import brooklock.routing.RouterAction.StartAttempt;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Whether a request may be sent again, and what its final response may promise. */
class RetryPolicyTest {
    @Test
    void anIdempotentRequestGoesToTheNextCacheAfterAnError() {
        RouterFixture fixture = new RouterFixture().withEndpoints();
        StartAttempt first = fixture.startRequest(PAGE, 42);
        StartAttempt second =
                firstAttempt(fixture.complete(first, AttemptOutcome.ERROR, CacheStatus.NONE, 5));
        assertNotNull(second);
        assertNotEquals(first.endpoint(), second.endpoint());
    }

    @Test
    void passThroughRequestsGoStraightToTheOrigin() {
        assertEquals(
                ORIGIN_ID, new RouterFixture().withEndpoints().startRequest(KEYED, 1).endpoint());
    }

    /**
     * The connection is reset while a request runs that must not run twice. Nobody knows whether it
     * did, so it is neither sent again nor rejected as harmless.
     */
    @Test
    void aRequestThatIsNotIdempotentFailsOnceItMayHaveBeenExecuted() {
        RouterFixture fixture = new RouterFixture().withEndpoints();
        StartAttempt attempt = fixture.startRequest(NOT_IDEMPOTENT, 42);
        List<RouterAction> actions =
                fixture.complete(attempt, AttemptOutcome.RESET, CacheStatus.NONE, 5);
        assertNull(firstAttempt(actions));
        assertEquals(List.of(new FailRequest(attempt.id())), actions);
    }

    /**
     * Endpoints remember a key for two seconds. A repeat that starts later would be executed again,
     * so none is sent, and one that waits for its connection must not start after it.
     */
    @Test
    void aRequestWithAnIdempotencyKeyIsNotRepeatedAfterItsWindow() {
        RouterFixture fixture = new RouterFixture().withEndpoints();
        StartAttempt first = fixture.startRequest(KEYED, 42);
        fixture.now += 100 * MS;
        StartAttempt repeat =
                firstAttempt(fixture.complete(first, AttemptOutcome.ERROR, CacheStatus.NONE, 100));
        assertNotNull(repeat, "inside its window");
        assertEquals(
                3000 * MS, first.startWithinNs(), "a first attempt may start until the deadline");
        assertEquals(1900 * MS, repeat.startWithinNs(), "a repeat may start until its window ends");
        fixture.now += 2000 * MS;
        List<RouterAction> actions =
                fixture.complete(repeat, AttemptOutcome.ERROR, CacheStatus.NONE, 2000);
        assertNull(firstAttempt(actions));
        assertEquals(
                1,
                actionsOfType(actions, RejectRequest.class).size(),
                "all endpoints share the key: a rejection is allowed");
    }

    /**
     * Only the endpoints of a cell share keys. The client's own retry may reach another cell and be
     * executed again, so the request must not be rejected as harmless.
     */
    @Test
    void aRequestWithAKeyOfCellScopeFailsOnceItMayHaveBeenExecuted() {
        RouterFixture fixture =
                new RouterFixture(RouterFixture.settings(true, IdempotencyScope.CELL))
                        .withEndpoints();
        StartAttempt attempt = fixture.startRequest(KEYED, 42);
        List<RouterAction> actions =
                fixture.complete(attempt, AttemptOutcome.ERROR, CacheStatus.NONE, 5);
        assertEquals(List.of(new FailRequest(attempt.id())), actions);
    }
}
