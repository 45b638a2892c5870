package brooklock.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brooklock.routing.AttemptOutcome;
import brooklock.routing.EndpointState;
import brooklock.routing.RouterAction;
import brooklock.routing.RouterAction.FailRequest;
import brooklock.routing.RouterAction.SetTimer;
import brooklock.routing.RouterEvent;
import brooklock.routing.RouterEvent.AttemptCompleted;
import brooklock.routing.RouterEvent.EndpointListReceived;
import brooklock.routing.RouterEvent.RequestReceived;
import brooklock.routing.RouterEvent.TimerFired;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Tests attempts that wait for a connection. An attempt must be sent only if the router's decision
 * is still valid at that time; otherwise it returns to the router as not started.
 */
@Timeout(60)
class QueuedAttemptTest {
    private static final int TIMEOUT_MS = 2400;

    private DispatcherFixture fixture;
    private RpcTestClient client;

    @AfterEach
    void stop() throws Exception {
        if (client != null) {
            client.close();
        }
        fixture.close();
    }

    /** Starts one attempt at endpoint {@code a} for each request; fails the request if it fails. */
    static void decideOneAttempt(RouterEvent event, List<RouterAction> actions) {
        if (event instanceof RequestReceived received) {
            actions.add(
                    DispatcherFixture.startAttemptAction(
                            received.id(), "a", TIMEOUT_MS, TIMEOUT_MS));
        } else if (event instanceof AttemptCompleted completed
                && completed.outcome() != AttemptOutcome.OK) {
            actions.add(new FailRequest(completed.id()));
        }
    }

    private void start(BiConsumer<RouterEvent, List<RouterAction>> decisions) throws Exception {
        fixture = new DispatcherFixture(64, decisions);
        fixture.updateList(EndpointState.READY, "a");
        client = new RpcTestClient(fixture.address);
    }

    // Sends a request and returns the pending connection that its attempt waits for.
    private DispatcherFixture.ConnectRequest sendRequest(long id, int timeoutMs) throws Exception {
        client.send(
                RpcTestClient.encodeCall(
                        1,
                        TestConfigs.READ_CLASS,
                        RpcTestClient.fields(id, 0x7f, timeoutMs),
                        new byte[0]));
        return fixture.nextConnectRequest();
    }

    private DispatcherFixture.ConnectRequest startAndSendRequest(long id) throws Exception {
        start(QueuedAttemptTest::decideOneAttempt);
        return sendRequest(id, TIMEOUT_MS);
    }

    // Does not wait for the attempt to end: the caller has waited for the change on the I/O thread.
    private void assertAlreadyReturned(DispatcherFixture.ConnectRequest connectRequest)
            throws Exception {
        assertTrue(fixture.allEvents.stream().anyMatch(AttemptCompleted.class::isInstance));
        assertReturned(connectRequest);
    }

    private void assertReturned(DispatcherFixture.ConnectRequest connectRequest) throws Exception {
        assertEquals(
                AttemptOutcome.NOT_STARTED, fixture.nextEvent(AttemptCompleted.class).outcome());
        assertEquals("Internal", client.response().error());
        assertNothingIsSent(connectRequest);
    }

    private void assertNothingIsSent(DispatcherFixture.ConnectRequest connectRequest)
            throws Exception {
        DispatcherFixture.EndpointPeer endpoint = fixture.connect(connectRequest);
        assertNull(endpoint.frames.poll(50, TimeUnit.MILLISECONDS));
    }

    private void purge(long objectId, int group) throws Exception {
        fixture.onIoThread(
                () -> {
                    fixture.connector.onPurge(objectId, group);
                    return null;
                });
    }

    /**
     * A connection is established 60 ms late. The time limit in the request frame must be reduced
     * accordingly, or the endpoint would continue to work after the client's deadline.
     */
    @Test
    void theTimeLimitOfTheRequestFrameExcludesTheQueueTime() throws Exception {
        DispatcherFixture.ConnectRequest connectRequest = startAndSendRequest(0x11);
        long startNs = System.nanoTime();
        while (System.nanoTime() - startNs < 60_000_000) {
            Thread.onSpinWait();
        }
        Frame frame = fixture.connect(connectRequest).nextFrame();
        assertTrue(
                Integer.parseInt(frame.fields().get("limit")) <= TIMEOUT_MS - 60,
                frame.fields().toString());
    }

    /** The endpoint begins to drain while the attempt is queued. The attempt must not be sent. */
    @Test
    void aDrainOfItsEndpointReturnsTheAttempt() throws Exception {
        DispatcherFixture.ConnectRequest connectRequest = startAndSendRequest(0x12);
        fixture.updateList(EndpointState.DRAINING, "a");
        assertAlreadyReturned(connectRequest);
    }

    /**
     * The object is purged while the attempt is queued. The attempt must not be sent: the maximum
     * age of copies in its decision is outdated, and the endpoint could serve a purged copy. A
     * purge of another object must have no effect.
     */
    @Test
    void aPurgeOfItsObjectReturnsTheAttempt() throws Exception {
        DispatcherFixture.ConnectRequest connectRequest = startAndSendRequest(0x13);
        purge(0x80, 0);
        assertTrue(fixture.events.stream().noneMatch(AttemptCompleted.class::isInstance));
        purge(0x7f, 0);
        assertAlreadyReturned(connectRequest);
    }

    /**
     * The purge group of the object is purged while the attempt is queued. The attempt must not be
     * sent.
     */
    @Test
    void aPurgeOfItsGroupReturnsTheAttempt() throws Exception {
        DispatcherFixture.ConnectRequest connectRequest = startAndSendRequest(0x14);
        purge(0, 1);
        assertAlreadyReturned(connectRequest);
    }

    /**
     * An attempt with an idempotency key may start only while endpoints remember the key. If no
     * connection is established by then, the attempt must return to the router at that time and not
     * only at the deadline.
     */
    @Test
    void theStartTimeoutReturnsTheAttempt() throws Exception {
        start(
                (event, actions) -> {
                    if (event instanceof RequestReceived received) {
                        actions.add(
                                DispatcherFixture.startAttemptAction(
                                        received.id(), "a", TIMEOUT_MS, 40));
                        actions.add(
                                new SetTimer(
                                        1, fixture.clock.nowNs() + TIMEOUT_MS / 2 * 1_000_000L));
                    } else if (event instanceof AttemptCompleted completed) {
                        actions.add(new FailRequest(completed.id()));
                    }
                });
        assertReturned(sendRequest(0x15, TIMEOUT_MS));
        fixture.nextEvent(TimerFired.class);
        RouterEvent beforeTimer = fixture.allEvents.get(fixture.allEvents.size() - 2);
        assertTrue(beforeTimer instanceof AttemptCompleted, fixture.allEvents.toString());
    }

    /**
     * The client cancels its request while the attempt is queued, and the router does not cancel
     * the attempt. The attempt must not be sent even so.
     */
    @Test
    void nothingIsSentOnceTheClientHasCancelled() throws Exception {
        DispatcherFixture.ConnectRequest connectRequest = startAndSendRequest(0x16);
        client.send(RpcTestClient.encodeCancel(1));
        fixture.nextEvent(RouterEvent.ClientDisconnected.class);
        DispatcherFixture.EndpointPeer endpoint = fixture.connect(connectRequest);
        assertEquals(
                AttemptOutcome.NOT_STARTED, fixture.nextEvent(AttemptCompleted.class).outcome());
        assertNull(endpoint.frames.poll(50, TimeUnit.MILLISECONDS));
    }

    /**
     * The deadline passes while the attempt is queued. The attempt must end as not started and not
     * as timed out: the request was certainly not executed, and the endpoint did not cause the
     * delay.
     */
    @Test
    void anAttemptQueuedUntilItsDeadlineEndsAsNotStarted() throws Exception {
        start(QueuedAttemptTest::decideOneAttempt);
        assertReturned(sendRequest(0x17, 60));
    }

    /**
     * A connection is established 100 ms late and the endpoint responds immediately. The reported
     * duration must exclude the delay, or the router would consider the endpoint slow.
     */
    @Test
    void theDurationOfAnAttemptExcludesTheQueueTime() throws Exception {
        DispatcherFixture.ConnectRequest connectRequest = startAndSendRequest(0x2b);
        long startNs = System.nanoTime();
        while (System.nanoTime() - startNs < 100_000_000) {
            Thread.onSpinWait();
        }
        long connectNs = System.nanoTime();
        DispatcherFixture.EndpointPeer endpoint = fixture.connect(connectRequest);
        endpoint.nextFrame();
        endpoint.respond(Frame.OK, 0x2b, "rev=1");
        long durationNs = fixture.nextEvent(AttemptCompleted.class).durationNs();
        assertTrue(durationNs <= System.nanoTime() - connectNs);
    }

    /**
     * Guards against a retry that names an endpoint which drains: the attempt waits for a
     * connection to an endpoint that leaves the list, and the same update bars others. The router
     * must have the update before it learns that the attempt has ended.
     */
    @Test
    void theRouterHasTheListBeforeAnAttemptAtAGoneEndpointEnds() throws Exception {
        startAndSendRequest(0x3a);
        fixture.updateList(EndpointState.GONE, "a");
        fixture.nextEvent(AttemptCompleted.class);
        int lastList = -1;
        int completed = -1;
        for (int i = 0; i < fixture.allEvents.size(); i++) {
            lastList = fixture.allEvents.get(i) instanceof EndpointListReceived ? i : lastList;
            completed = fixture.allEvents.get(i) instanceof AttemptCompleted ? i : completed;
        }
        assertTrue(lastList < completed, fixture.allEvents.toString());
    }
}
