package brooklock.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import brooklock.net.RawConnection;
import brooklock.routing.AttemptOutcome;
import brooklock.routing.EndpointState;
import brooklock.routing.RouterAction;
import brooklock.routing.RouterEvent;
import brooklock.routing.RouterEvent.AttemptCompleted;
import brooklock.routing.RouterEvent.RequestReceived;
import java.lang.ref.WeakReference;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests that requests and responses leave the heap when they are not needed any more. */
@Timeout(60)
class RequestMemoryTest {
    private static final int HOUR_MS = 3_600_000;
    private static final int RESPONSE_BYTES = 200_000;

    private DispatcherFixture fixture;

    @BeforeEach
    void start() throws Exception {
        fixture = new DispatcherFixture(64, RequestMemoryTest::retryUntilServed);
        fixture.updateList(EndpointState.READY, "a");
    }

    @AfterEach
    void stop() {
        fixture.close();
    }

    private static void retryUntilServed(RouterEvent event, List<RouterAction> actions) {
        if (event instanceof RequestReceived received) {
            actions.add(startAttempt(received.id()));
        } else if (event instanceof AttemptCompleted completed
                && completed.outcome() != AttemptOutcome.OK) {
            actions.add(startAttempt(completed.id()));
        }
    }

    private static RouterAction.StartAttempt startAttempt(long requestId) {
        return DispatcherFixture.startAttemptAction(requestId, "a", HOUR_MS, HOUR_MS / 2);
    }

    // Accepts a request whose deadline is an hour away.
    private PendingClientRequest accept() throws Exception {
        ClientRequest clientRequest =
                new ClientRequest(
                        0x51,
                        TestConfigs.READ_RULES,
                        TestConfigs.READ_CLASS,
                        "000000000000007f",
                        0,
                        1,
                        20,
                        HOUR_MS,
                        false,
                        null,
                        null,
                        new byte[0]);
        return fixture.onIoThread(
                () -> {
                    ClientConnection client =
                            new ClientConnection(
                                    fixture.clientListener, RawConnection.pair(fixture.loop)[0]);
                    PendingClientRequest request =
                            fixture.executor.accept(clientRequest, client, 1);
                    fixture.executor.route(request);
                    return request;
                });
    }

    // Runs the collector until the reference is cleared; the test's time-out is the limit.
    private static void awaitCleared(WeakReference<?> reference) throws InterruptedException {
        LoopbackDispatcher.await(
                () -> {
                    System.gc();
                    return reference.get() == null;
                });
    }

    /**
     * Guards against answered requests that fill the heap: the time-out of an ended attempt kept
     * the request with its body until the deadline.
     */
    @Test
    void anAnsweredRequestIsFreedBeforeItsDeadline() throws Exception {
        WeakReference<PendingClientRequest> request = new WeakReference<>(accept());
        DispatcherFixture.EndpointPeer endpoint = fixture.connect(fixture.nextConnectRequest());
        endpoint.respond(Frame.OK, endpoint.nextFrame().id(), "rev=1");
        assertEquals(AttemptOutcome.OK, fixture.nextEvent(AttemptCompleted.class).outcome());
        awaitCleared(request);
    }

    /**
     * Guards against responses that stop short and fill the heap: an open request kept the closed
     * connection of its first attempt, and with it the part of the response that had been received.
     */
    @Test
    void aResponseThatStoppedShortIsFreedWhileItsRequestIsOpen() throws Exception {
        PendingClientRequest request = accept();
        DispatcherFixture.EndpointPeer endpoint = fixture.connect(fixture.nextConnectRequest());
        long id = endpoint.nextFrame().id();
        WeakReference<EndpointConnection> connection =
                fixture.onIoThread(() -> new WeakReference<>(request.attempt(0).connection()));
        endpoint.respondInPart(Frame.OK, id, "rev=1", RESPONSE_BYTES, RESPONSE_BYTES / 2);
        assertEquals(AttemptOutcome.ERROR, fixture.nextEvent(AttemptCompleted.class).outcome());
        fixture.nextConnectRequest();
        awaitCleared(connection);
        assertEquals(1, fixture.onIoThread(fixture.executor::openRequests));
    }
}
