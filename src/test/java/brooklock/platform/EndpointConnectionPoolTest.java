package brooklock.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brooklock.routing.AttemptOutcome;
import brooklock.routing.EndpointState;
import brooklock.routing.RouterAction;
import brooklock.routing.RouterAction.FailRequest;
import brooklock.routing.RouterAction.RejectRequest;
import brooklock.routing.RouterEvent;
import brooklock.routing.RouterEvent.AttemptCompleted;
import brooklock.routing.RouterEvent.RequestReceived;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests the choice of a connection for an attempt, and slow, overdue and idle connections. */
@Timeout(60)
class EndpointConnectionPoolTest {
    private static final int TIMEOUT_MS = 2400;

    private DispatcherFixture fixture;
    private RpcTestClient client;

    @AfterEach
    void stop() throws Exception {
        client.close();
        fixture.close();
    }

    private void start(int maxConnections, BiConsumer<RouterEvent, List<RouterAction>> decisions)
            throws Exception {
        fixture = new DispatcherFixture(maxConnections, decisions);
        fixture.updateList(EndpointState.READY, "a");
        client = new RpcTestClient(fixture.address);
    }

    private void send(long messageId, long id, long object) throws Exception {
        client.send(
                RpcTestClient.encodeCall(
                        messageId,
                        TestConfigs.READ_CLASS,
                        RpcTestClient.fields(id, object, TIMEOUT_MS),
                        new byte[0]));
    }

    private DispatcherFixture.ConnectRequest sendFirst(long id) throws Exception {
        send(1, id, 0x7f);
        return fixture.nextConnectRequest();
    }

    /**
     * Guards against work that is sent to a process that is gone: the list says that the endpoint
     * has restarted, and an open connection to its earlier process gives no sign of that. Attempts
     * in flight on it must end, and later ones must use a new connection.
     */
    @Test
    void connectionsToAnEarlierProcessOfAnEndpointAreClosed() throws Exception {
        start(64, DispatcherFixture.rejectingUnlessServedBy("a"));
        DispatcherFixture.EndpointPeer idle = fixture.connect(sendFirst(0x71));
        idle.nextFrame();
        idle.respond(Frame.OK, 0x71, "rev=1");
        assertNull(client.response().error());
        send(2, 0x72, 0x7f);
        assertEquals(0x72, idle.nextFrame().id());
        send(3, 0x73, 0x7f);
        DispatcherFixture.EndpointPeer busy = fixture.connect(fixture.nextConnectRequest());
        assertEquals(0x73, busy.nextFrame().id());
        idle.respond(Frame.OK, 0x72, "rev=1");
        assertNull(client.response().error());
        fixture.updateList(EndpointState.READY, System.currentTimeMillis() + 1, "a");
        RpcTestClient.Response response = client.response();
        assertEquals(3, response.messageId());
        assertEquals("Overloaded", response.error());
        send(4, 0x74, 0x7f);
        DispatcherFixture.EndpointPeer restarted = fixture.connect(fixture.nextConnectRequest());
        assertEquals(0x74, restarted.nextFrame().id());
        assertTrue(idle.frames.isEmpty());
    }

    /**
     * An endpoint responds twice to the first attempt of a request, and the second attempt goes to
     * the same endpoint with the same id. It must use another connection, or the duplicate response
     * to the first attempt would be mistaken for the response to the second.
     */
    @Test
    void aDuplicateResponseIsNotMistakenForThatOfALaterAttempt() throws Exception {
        start(
                64,
                (event, actions) -> {
                    if (event instanceof RequestReceived received) {
                        actions.add(attempt(received.id(), "a"));
                    } else if (event instanceof AttemptCompleted completed
                            && completed.attempt() == 0) {
                        actions.add(attempt(completed.id(), "a"));
                    }
                });
        DispatcherFixture.EndpointPeer first = fixture.connect(sendFirst(0x18));
        assertEquals(0x18, first.nextFrame().id());
        first.respond(Frame.MISS, 0x18, "");
        assertEquals(
                AttemptOutcome.CACHE_MISS, fixture.nextEvent(AttemptCompleted.class).outcome());
        DispatcherFixture.EndpointPeer second = fixture.connect(fixture.nextConnectRequest());
        assertEquals(0x18, second.nextFrame().id());
        first.respond(Frame.MISS, 0x18, "");
        second.respond(Frame.OK, 0x18, "rev=1");
        assertNull(client.response().error());
        assertEquals(AttemptOutcome.OK, fixture.nextEvent(AttemptCompleted.class).outcome());
        fixture.onIoThread(() -> null);
        assertNull(fixture.events.peek());
        assertNotSame(first, second);
    }

    /**
     * An endpoint states that a copy is current whose entity tag is not that of the client's copy.
     * If the response were passed on, the client would keep using an outdated copy.
     */
    @Test
    void aCopyIsConfirmedOnlyByItsEntityTag() throws Exception {
        start(64, QueuedAttemptTest::decideOneAttempt);
        Map<String, String> fields = RpcTestClient.fields(0x19, 0x7f, TIMEOUT_MS);
        fields.put("etag", "4be0c1927d55a6f3");
        client.send(RpcTestClient.encodeCall(1, TestConfigs.READ_CLASS, fields, new byte[0]));
        DispatcherFixture.EndpointPeer endpoint = fixture.connect(fixture.nextConnectRequest());
        endpoint.nextFrame();
        endpoint.respond(Frame.NOT_MODIFIED, 0x19, "rev=5555555555555555,tell=hit");
        assertEquals("Internal", client.response().error());
    }

    /**
     * A second connection is slow to be established. After an eighth of the connect timeout the
     * attempt that waits for it must share the first connection; the slow connection serves the
     * next attempt once it is established.
     */
    @Test
    void anAttemptSharesAConnectionIfItsOwnIsSlow() throws Exception {
        start(64, QueuedAttemptTest::decideOneAttempt);
        DispatcherFixture.EndpointPeer first = fixture.connect(sendFirst(0x1d));
        assertEquals(0x1d, first.nextFrame().id());
        send(2, 0x1e, 0x7f);
        DispatcherFixture.ConnectRequest connectRequest = fixture.nextConnectRequest();
        assertEquals(0x1e, first.nextFrame().id());
        DispatcherFixture.EndpointPeer second = fixture.connect(connectRequest);
        send(3, 0x1f, 0x7f);
        assertEquals(0x1f, second.nextFrame().id());
        assertNull(fixture.connectRequests.peek());
    }

    /**
     * A connection is not established within the connect timeout. Its attempt must fail as not
     * connected, but the connection stays pending; once it is established, the next attempt uses it
     * without opening another.
     */
    @Test
    void anOverdueConnectionFailsItsAttemptAndServesTheNext() throws Exception {
        start(64, QueuedAttemptTest::decideOneAttempt);
        DispatcherFixture.ConnectRequest connectRequest = sendFirst(0x20);
        AttemptCompleted completed = fixture.nextEvent(AttemptCompleted.class);
        assertEquals(AttemptOutcome.CONNECT_FAILED, completed.outcome());
        assertEquals("Internal", client.response().error());
        DispatcherFixture.EndpointPeer endpoint = fixture.connect(connectRequest);
        send(2, 0x2a, 0x7f);
        assertEquals(0x2a, endpoint.nextFrame().id());
        assertNull(fixture.connectRequests.peek());
    }

    /**
     * An idle connection is selected for an attempt that may no longer start. The connection must
     * become idle again, or it would be lost to the pool.
     */
    @Test
    void aConnectionOfAnAttemptThatDoesNotStartIsReused() throws Exception {
        start(
                64,
                (event, actions) -> {
                    if (event instanceof RequestReceived received) {
                        actions.add(
                                DispatcherFixture.startAttemptAction(
                                        received.id(),
                                        "a",
                                        TIMEOUT_MS,
                                        received.object() == 0x80 ? -1 : TIMEOUT_MS));
                    } else if (event instanceof AttemptCompleted completed
                            && completed.outcome() != AttemptOutcome.OK) {
                        actions.add(new FailRequest(completed.id()));
                    }
                });
        DispatcherFixture.EndpointPeer endpoint = fixture.connect(sendFirst(0x2c));
        endpoint.nextFrame();
        endpoint.respond(Frame.OK, 0x2c, "rev=1");
        assertNull(client.response().error());
        send(2, 0x2d, 0x80);
        assertEquals("Internal", client.response().error());
        send(3, 0x2e, 0x7f);
        assertEquals(0x2e, endpoint.nextFrame().id());
        assertNull(fixture.connectRequests.peek());
    }

    /**
     * All descriptors are in use, one of them by an idle connection to another endpoint. The idle
     * connection must be closed for the new request; otherwise the request would wait until the
     * idle timeout closes it.
     */
    @Test
    void anIdleConnectionToAnotherEndpointIsEvicted() throws Exception {
        start(
                1,
                (event, actions) -> {
                    if (event instanceof RequestReceived received) {
                        actions.add(attempt(received.id(), received.object() == 0x7f ? "a" : "b"));
                    } else if (event instanceof AttemptCompleted completed
                            && completed.outcome() != AttemptOutcome.OK) {
                        actions.add(new RejectRequest(completed.id(), 0));
                    }
                });
        DispatcherFixture.ConnectRequest requestToA = sendFirst(0x1a);
        fixture.updateList(EndpointState.READY, "b");
        DispatcherFixture.EndpointPeer endpointA = fixture.connect(requestToA);
        endpointA.nextFrame();
        send(2, 0x1b, 0x80);
        fixture.nextEvent(RequestReceived.class);
        fixture.nextEvent(RequestReceived.class);
        assertNull(fixture.connectRequests.peek());
        endpointA.respond(Frame.OK, 0x1a, "rev=1");
        assertNull(client.response().error());
        send(3, 0x1c, 0x80);
        DispatcherFixture.EndpointPeer endpointB = fixture.connect(fixture.nextConnectRequest());
        assertTrue(endpointA.closed.await(20, TimeUnit.SECONDS));
        assertEquals(0x1b, endpointB.nextFrame().id());
    }

    private static RouterAction.StartAttempt attempt(long requestId, String endpoint) {
        return DispatcherFixture.startAttemptAction(requestId, endpoint, TIMEOUT_MS, TIMEOUT_MS);
    }
}
