package brooklock.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brooklock.routing.EndpointState;
import brooklock.routing.RouterEvent.KeyedRetryReceived;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests requests whose id or idempotency key has been used before. */
@Timeout(60)
class SentRequestTest {
    private static final String KEY = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211";

    private DispatcherFixture fixture;
    private DispatcherFixture.EndpointPeer endpoint;

    @BeforeEach
    void start() throws Exception {
        fixture = new DispatcherFixture(64, DispatcherFixture.rejectingUnlessServedBy("a"));
        fixture.updateList(EndpointState.READY, "a");
    }

    @AfterEach
    void stop() {
        fixture.close();
    }

    private static byte[] write(long messageId, long id, String key) {
        Map<String, String> fields = RpcTestClient.fields(id, 0x7f, 2400);
        fields.put("k", key);
        return RpcTestClient.encodeCall(messageId, TestConfigs.WRITE_CLASS, fields, new byte[10]);
    }

    /**
     * Guards against a write that is executed twice: its client leaves after it has been sent to
     * the origin, and its id comes again on another connection, with another key. The id must be
     * refused; a new id must be served.
     */
    @Test
    void anIdThatHasBeenSentIsNotSentAgainAfterItsClientHasLeft() throws Exception {
        try (RpcTestClient leaving = new RpcTestClient(fixture.address)) {
            leaving.send(write(1, 0x61, "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"));
            DispatcherFixture.EndpointPeer first = fixture.connect(fixture.nextConnectRequest());
            assertEquals(0x61, first.nextFrame().id());
        }
        while (fixture.onIoThread(fixture.executor::openRequests) > 0) {
            TimeUnit.MILLISECONDS.sleep(2);
        }
        try (RpcTestClient client = new RpcTestClient(fixture.address)) {
            client.send(write(1, 0x61, "5c0f6e1a2b3d4c59a8b7c6d5e4f30212"));
            assertEquals("Invalid", client.response().error());
            client.send(write(2, 0x62, "5c0f6e1a2b3d4c59a8b7c6d5e4f30213"));
            DispatcherFixture.EndpointPeer second = fixture.connect(fixture.nextConnectRequest());
            assertEquals(0x62, second.nextFrame().id());
            second.respond(Frame.OK, 0x62, "rev=1");
            assertNull(client.response().error());
        }
    }

    private void sendAndAnswer(RpcTestClient client, long id, int code) throws Exception {
        client.send(write(id, id, KEY));
        if (endpoint == null) {
            endpoint = fixture.connect(fixture.nextConnectRequest());
        }
        assertEquals(id, endpoint.nextFrame().id());
        endpoint.respond(code, id, "");
        assertEquals("Overloaded", client.response().error());
    }

    /**
     * Guards against a window that begins anew with each retry of a client: the repeat of a retry
     * was sent after the endpoints had forgotten the key, and was executed again. The router must
     * be told of the first request, unless that is proved not to have been executed.
     */
    @Test
    void theRouterIsToldOfAnEarlierRequestWithTheSameKey() throws Exception {
        try (RpcTestClient client = new RpcTestClient(fixture.address)) {
            sendAndAnswer(client, 0x71, Frame.OVERLOADED);
            sendAndAnswer(client, 0x72, Frame.ERROR);
            sendAndAnswer(client, 0x73, Frame.OVERLOADED);
            sendAndAnswer(client, 0x74, Frame.OVERLOADED);
        }
        List<KeyedRetryReceived> retries =
                fixture.allEvents.stream()
                        .filter(KeyedRetryReceived.class::isInstance)
                        .map(KeyedRetryReceived.class::cast)
                        .toList();
        assertEquals(2, retries.size(), "those after the error");
        assertEquals(retries.get(0).keyFirstSentAtNs(), retries.get(1).keyFirstSentAtNs());
    }

    /** Guards against a key that counts as sent before although every endpoint has forgotten it. */
    @Test
    void aKeyIsForgottenWithItsWindow() {
        IdempotencyKeyLog keys = new IdempotencyKeyLog();
        keys.record(KEY, 100);
        keys.record(KEY, 150);
        assertEquals(100, keys.firstSentAtNs(KEY, 50, 149));
        assertEquals(IdempotencyKeyLog.NEVER, keys.firstSentAtNs(KEY, 50, 150));
        keys.record(KEY, 160);
        assertEquals(160, keys.firstSentAtNs(KEY, 50, 170));
    }

    /** Guards against a memory of ids that grows without end, or forgets too early. */
    @Test
    void theIdsAddedLastAreRemembered() {
        RecentIdSet ids = new RecentIdSet(16);
        for (long id = 0; id < 100; id++) {
            assertFalse(ids.contains(id), "id " + id);
            ids.add(id);
            for (long recent = Math.max(0, id - 15); recent <= id; recent++) {
                assertTrue(ids.contains(recent), "id " + recent + " after " + id);
            }
        }
        assertFalse(ids.contains(50));
    }
}
