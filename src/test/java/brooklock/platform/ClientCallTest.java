package brooklock.platform;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brooklock.platform.RpcTestClient.Response;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.extension.RegisterExtension;

/** Tests clients that cancel calls, send invalid or too many calls, or send nothing. */
@Timeout(120)
class ClientCallTest {
    private static final byte[] BODY = LoopbackDispatcher.BODY;

    @RegisterExtension private final LoopbackDispatcher loopback = new LoopbackDispatcher();

    private static byte[] read(long messageId, long id, long object, int timeoutMs) {
        return RpcTestClient.encodeCall(
                messageId,
                TestConfigs.READ_CLASS,
                RpcTestClient.fields(id, object, timeoutMs),
                new byte[0]);
    }

    // Returns a handler that never responds to one request and serves all others.
    private static FakeEndpoint.FrameHandler servingAllBut(long id) {
        return (request, out, socket) -> {
            if (request.id() != id) {
                FakeEndpoint.serving(BODY).handle(request, out, socket);
            }
        };
    }

    /**
     * A client cancels a call and reuses its message id. If the cancelled call were answered, the
     * client would mistake that answer for the response to the second call.
     */
    @Test
    void aCancelledRequestGetsNoResponseAndItsMessageIdIsReusable() throws Exception {
        loopback.start(servingAllBut(0x18));
        loopback.client().send(read(1, 0x18, 0x87, 2000));
        loopback.client().send(RpcTestClient.encodeCancel(1));
        assertArrayEquals(BODY, loopback.client().request(1, 0x19, 0x87, 2000).body());
    }

    /**
     * A client sends each of its calls together with its cancellation in one write. Calls received
     * in one read are submitted only after all of that input has been decoded. Only a call that is
     * split from its cancellation by the end of a read may reach an endpoint.
     */
    @Test
    void callsCancelledInTheSameReadReachNoEndpoint() throws Exception {
        loopback.start(FakeEndpoint.serving(BODY));
        byte[] burst = new byte[0];
        for (int i = 1; i <= 60; i++) {
            burst =
                    RpcTestClient.concat(
                            burst,
                            read(i, 0x400 + i, 0x500 + i, 2000),
                            RpcTestClient.encodeCancel(i));
        }
        loopback.client().send(burst);
        assertArrayEquals(BODY, loopback.client().request(100, 0x27, 0x93, 2000).body());
        int requests = loopback.cache(0).received.size();
        assertTrue(requests < 10, "requests " + requests);
    }

    /**
     * A client uses the id of a request that is open on another connection, calls an unknown class,
     * and then sends an invalid message. The calls are answered with errors and the message closes
     * the client's own connection; the request on the other connection must not be affected.
     */
    @Test
    void invalidCallsAreAnsweredAndDoNotAffectOtherClients() throws Exception {
        loopback.start(servingAllBut(0x20));
        loopback.client().send(read(1, 0x20, 0x88, 2000));
        LoopbackDispatcher.await(() -> !loopback.cache(0).received.isEmpty());
        try (RpcTestClient faulty = loopback.newClient()) {
            assertEquals("Invalid", faulty.request(1, 0x20, 0x99, 2000).error());
            faulty.send(
                    RpcTestClient.encodeCall(
                            2, "nothing", RpcTestClient.fields(0x21, 0x99, 2000), new byte[0]));
            assertEquals("Invalid", faulty.response().error());
            faulty.send(new byte[] {(byte) 0xc1});
            assertNull(faulty.response());
        }
        assertArrayEquals(BODY, loopback.client().request(2, 0x22, 0x88, 2000).body());
    }

    /** A client opens one call more than the protocol allows; only that call must be rejected. */
    @Test
    void callsAboveTheOpenCallLimitAreRejected() throws Exception {
        loopback.start((request, out, socket) -> {});
        for (int i = 1; i <= ClientConnection.MAX_OPEN_CALLS + 1; i++) {
            loopback.client().send(read(i, 0x200 + i, 0x300 + i, 2400));
        }
        Response response = loopback.client().response();
        assertEquals("Overloaded", response.error());
        assertEquals(ClientConnection.MAX_OPEN_CALLS + 1, response.messageId());
    }

    /**
     * One client sends nothing, another stops in the middle of a message. Both connections must be
     * closed, or they would occupy file descriptors indefinitely.
     */
    @Test
    void aSilentClientIsDisconnected() throws Exception {
        loopback.start(FakeEndpoint.serving(BODY));
        assertNull(loopback.client().response());
        try (RpcTestClient half = loopback.newClient()) {
            half.send(new byte[] {(byte) 0x94, 0, 1});
            assertNull(half.response());
        }
    }

    /**
     * Silent clients occupy all connections that clients may have. A new client with a request must
     * be accepted nevertheless, in place of a silent one.
     */
    @Test
    void silentClientsAreEvictedForNewConnections() throws Exception {
        loopback.start(FakeEndpoint.serving(BODY));
        for (int i = 0; i < 300; i++) {
            loopback.newClient();
        }
        assertArrayEquals(BODY, loopback.newClient().request(1, 0x23, 0x89, 2000).body());
    }

    /** A health check must be answered without a request to an endpoint. */
    @Test
    void aHealthCheckIsAnsweredWithTrueAfterTheStart() throws Exception {
        loopback.start((request, out, socket) -> {});
        loopback.client().send(RpcTestClient.encodeCall(1, "isWell", Map.of(), null));
        assertTrue(loopback.client().response().healthy());
        assertTrue(loopback.cache(0).received.isEmpty());
    }
}
