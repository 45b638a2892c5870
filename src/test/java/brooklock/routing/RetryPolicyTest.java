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
import brooklock.routing.RouterEvent.KeyedRetryReceived;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests whether a request may be sent again, and which final response it gets. */
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
     * The connection is reset while a request that must not be executed twice is in flight. It may
     * have been executed, so it must neither be sent again nor be rejected.
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
     * Endpoints remember an idempotency key for two seconds and would execute a later repeat again.
     * No repeat may be sent after that time, and one that waits for its connection must not start
     * after it.
     */
    @Test
    void aRequestWithAnIdempotencyKeyIsNotRepeatedAfterItsWindow() {
        RouterFixture fixture = new RouterFixture().withEndpoints();
        StartAttempt first = fixture.startRequest(KEYED, 42);
        fixture.now += 100 * MS;
        StartAttempt repeat =
                firstAttempt(fixture.complete(first, AttemptOutcome.ERROR, CacheStatus.NONE, 100));
        assertNotNull(repeat, "the key's window has not ended");
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
     * Guards against a window that begins anew with a client's retry: the retry comes 360 ms after
     * a request with the same key that may have been executed. It must not be repeated after the
     * window of that request, whatever its own attempts prove.
     */
    @Test
    void aRetryOfAClientSharesTheWindowOfTheFirstRequest() {
        RouterFixture fixture = new RouterFixture().withEndpoints();
        long firstSentAtNs = fixture.now;
        fixture.now += 360 * MS;
        StartAttempt retry =
                firstAttempt(
                        fixture.onEvent(
                                new KeyedRetryReceived(
                                        fixture.newRequest(KEYED, 42), firstSentAtNs)));
        assertEquals(1640 * MS, retry.startWithinNs(), "the rest of the window");
        fixture.now += 100 * MS;
        StartAttempt repeat =
                firstAttempt(fixture.complete(retry, AttemptOutcome.RESET, CacheStatus.NONE, 100));
        assertEquals(1540 * MS, repeat.startWithinNs());
        fixture.now += 1600 * MS;
        assertNull(
                firstAttempt(
                        fixture.complete(
                                repeat, AttemptOutcome.OVERLOADED, CacheStatus.NONE, 1600)));
    }

    /**
     * Only the endpoints of a cell share keys. A retry by the client may reach another cell and be
     * executed again, so the request must not be rejected.
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
