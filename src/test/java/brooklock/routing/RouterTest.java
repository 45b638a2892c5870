package brooklock.routing;

import static brooklock.routing.RouterFixture.MS;
import static brooklock.routing.RouterFixture.NOT_IDEMPOTENT;
import static brooklock.routing.RouterFixture.PAGE;
import static brooklock.routing.RouterFixture.actionsOfType;
import static brooklock.routing.RouterFixture.firstAttempt;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brooklock.routing.RouterAction.CancelAttempt;
import brooklock.routing.RouterAction.RejectRequest;
import brooklock.routing.RouterAction.SetTimer;
import brooklock.routing.RouterAction.StartAttempt;
import brooklock.routing.RouterEvent.AttemptCompleted;
import brooklock.routing.RouterEvent.ClientDisconnected;
import brooklock.routing.RouterEvent.RequestReceived;
import brooklock.routing.RouterEvent.ResponseStarted;
import brooklock.routing.RouterEvent.TimerFired;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Tests the course of a request from its acceptance to its final response. */
class RouterTest {
    /**
     * No response arrives by the client's deadline. Shortly before the deadline the request must
     * get its final response and its attempt must be cancelled; the late outcome of the attempt
     * must not start another attempt.
     */
    @Test
    void theFinalResponseTimerEndsTheRequest() {
        RouterFixture fixture = new RouterFixture().withEndpoints();
        RequestReceived request = fixture.newRequest(PAGE, 42);
        List<RouterAction> actions = fixture.onEvent(request);
        SetTimer finalResponseTimer = actionsOfType(actions, SetTimer.class).get(0);
        assertTrue(
                finalResponseTimer.atNs() < request.deadlineNs()
                        && finalResponseTimer.atNs() > request.deadlineNs() - 20 * MS);
        fixture.now = finalResponseTimer.atNs();
        actions = fixture.onEvent(new TimerFired(finalResponseTimer.token()));
        assertEquals(1, actionsOfType(actions, RejectRequest.class).size());
        assertEquals(1, actionsOfType(actions, CancelAttempt.class).size());
        fixture.complete(
                firstAttempt(fixture.onEvent(fixture.newRequest(PAGE, 43))),
                AttemptOutcome.ERROR,
                CacheStatus.NONE,
                1);
        actions =
                fixture.onEvent(
                        new AttemptCompleted(
                                request.id(),
                                0,
                                11,
                                AttemptOutcome.CANCELLED,
                                CacheStatus.NONE,
                                1,
                                0,
                                true));
        assertEquals(0, actionsOfType(actions, StartAttempt.class).size());
    }

    @Test
    void aRequestWhoseClientDisconnectedIsRemoved() {
        RouterFixture fixture = new RouterFixture().withEndpoints();
        StartAttempt attempt = fixture.startRequest(PAGE, 42);
        List<RouterAction> actions = fixture.onEvent(new ClientDisconnected(attempt.id()));
        assertEquals(List.of(new CancelAttempt(attempt.id(), 0)), actions);
        assertEquals(
                List.of(), fixture.complete(attempt, AttemptOutcome.ERROR, CacheStatus.NONE, 5));
    }

    @Test
    void aResponseThatHasStartedIsNotCancelled() {
        RouterFixture fixture = new RouterFixture().withEndpoints();
        StartAttempt attempt = fixture.startRequest(NOT_IDEMPOTENT, 42);
        assertEquals(
                List.of(),
                fixture.onEvent(new ResponseStarted(attempt.id(), 0, attempt.endpoint())));
    }

    @Test
    void aRequestWithoutUsableEndpointIsRejectedAtOnce() {
        RouterFixture fixture = new RouterFixture();
        RejectRequest rejected =
                actionsOfType(fixture.onEvent(fixture.newRequest(PAGE, 1)), RejectRequest.class)
                        .get(0);
        assertTrue(rejected.retryAfterNs() > 0 && rejected.retryAfterNs() <= 500 * MS);
        assertEquals(
                1,
                actionsOfType(
                                fixture.onEvent(fixture.newRequest(NOT_IDEMPOTENT, 1)),
                                RejectRequest.class)
                        .size(),
                "the request was never executed");
    }

    /**
     * The course of a request: its first attempt fails, it is retried at another cache, hedged, and
     * rejected at its deadline. Callers rely on the order of the actions of each event: the
     * final-response timer precedes the first attempt, the hedge timer follows it, and the final
     * response precedes the cancellations.
     */
    @Test
    void theActionsOfARequestAreInOrder() {
        RouterFixture fixture = new RouterFixture().withEndpoints();
        RequestReceived request = fixture.newRequest(PAGE, 42);
        List<RouterAction> actions = fixture.onEvent(request);
        StartAttempt first = firstAttempt(actions);
        SetTimer finalResponseTimer = actionsOfType(actions, SetTimer.class).get(0);
        SetTimer hedgeTimer = actionsOfType(actions, SetTimer.class).get(1);
        assertEquals(List.of(finalResponseTimer, first, hedgeTimer), actions);
        assertEquals(request.deadlineNs() - 2 * 2 * MS, finalResponseTimer.atNs());
        assertTrue(
                hedgeTimer.atNs() > fixture.now && hedgeTimer.atNs() < finalResponseTimer.atNs());

        fixture.now += 5 * MS;
        actions = fixture.complete(first, AttemptOutcome.ERROR, CacheStatus.NONE, 5);
        StartAttempt second = firstAttempt(actions);
        assertEquals(List.of(second), actions, "retried at once, with no further timer");
        assertNotEquals(first.endpoint(), second.endpoint());

        makeUnresponsive(fixture, second.endpoint());
        fixture.now = Math.max(fixture.now, hedgeTimer.atNs());
        actions = fixture.onEvent(new TimerFired(hedgeTimer.token()));
        StartAttempt third = firstAttempt(actions);
        assertEquals(List.of(third), actions, "hedged: its endpoint is unresponsive");
        assertNotEquals(second.endpoint(), third.endpoint());

        fixture.now = finalResponseTimer.atNs();
        actions = fixture.onEvent(new TimerFired(finalResponseTimer.token()));
        assertEquals(
                List.of(
                        new RejectRequest(request.id(), 500 * MS),
                        new CancelAttempt(request.id(), 1),
                        new CancelAttempt(request.id(), 2)),
                actions,
                "the final response, then cancellations in the order of the attempts");
        assertEquals(
                List.of(new CancelAttempt(request.id(), 2)),
                completeAt(fixture, second, 1),
                "the attempt still open is cancelled once more, and none is started");
        assertEquals(
                List.of(), completeAt(fixture, third, 2), "a finished request causes no actions");
        assertEquals(List.of(), fixture.onEvent(new ClientDisconnected(request.id())));
    }

    /**
     * Leaves two more attempts at an endpoint open until the endpoint is considered unresponsive.
     */
    private static void makeUnresponsive(RouterFixture fixture, long endpoint) {
        int open = 0;
        for (int object = 1000; open < 2 && object < 2000; object++) {
            StartAttempt attempt = fixture.startRequest(PAGE, object);
            if (attempt.endpoint() == endpoint) {
                open++;
            } else {
                fixture.complete(attempt, AttemptOutcome.OK, CacheStatus.HIT, 1);
            }
        }
        assertEquals(2, open);
        fixture.now += 1100 * MS;
    }

    private static List<RouterAction> completeAt(
            RouterFixture fixture, StartAttempt attempt, int index) {
        return fixture.onEvent(
                new AttemptCompleted(
                        attempt.id(),
                        index,
                        attempt.endpoint(),
                        AttemptOutcome.CANCELLED,
                        CacheStatus.NONE,
                        1000 * MS,
                        0,
                        true));
    }

    @Test
    void theSameEventsGiveTheSameActionsDespiteOtherRouters() {
        RouterFixture one = new RouterFixture().withEndpoints();
        RouterFixture unrelated = new RouterFixture().withEndpoints();
        RouterFixture other = new RouterFixture().withEndpoints();
        Random random = new Random(5);
        for (int i = 0; i < 500; i++) {
            one.now += MS;
            other.now += MS;
            long object = random.nextInt(60);
            unrelated.startRequest(PAGE, object + 1);
            List<RouterAction> ofOne = one.onEvent(one.newRequest(PAGE, object));
            List<RouterAction> ofOther = other.onEvent(other.newRequest(PAGE, object));
            assertEquals(ofOne, ofOther);
            if (firstAttempt(ofOne) != null && random.nextBoolean()) {
                assertEquals(
                        one.complete(
                                firstAttempt(ofOne), AttemptOutcome.ERROR, CacheStatus.NONE, 3),
                        other.complete(
                                firstAttempt(ofOther), AttemptOutcome.ERROR, CacheStatus.NONE, 3));
            }
        }
    }

    @Test
    void randomEventsBreakNoRuleOfASingleRouter() {
        for (int seed = 1; seed <= 20; seed++) {
            new RandomTraffic(seed).run();
        }
    }
}
