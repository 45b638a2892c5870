package brooklock.platform;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import brooklock.platform.RpcTestClient.Response;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.extension.RegisterExtension;

/** Endpoints that respond with garbage, break off, are silent or are not there. */
@Timeout(120)
class PlatformEndpointFaultTest {
    private static final byte[] BODY = LoopbackDispatcher.BODY;

    @RegisterExtension private final LoopbackDispatcher loopback = new LoopbackDispatcher();

    /**
     * A cache's response is damaged on its way: one bit of the body is wrong. The checksum shows it
     * before a byte has gone to the client, so the request is retried at the other cache, and the
     * client gets the object whole.
     */
    @Test
    void aDamagedResponseIsNotForwardedAndTheRequestIsRetried() throws Exception {
        AtomicInteger responses = new AtomicInteger();
        FakeEndpoint.FrameHandler damagesFirst =
                (request, out, socket) -> {
                    byte[] frame = FakeEndpoint.frame(Frame.OK, request.id(), "tell=hit", BODY);
                    if (responses.getAndIncrement() == 0) {
                        frame[frame.length - 6] ^= 1;
                    }
                    out.write(frame);
                };
        loopback.start(damagesFirst, damagesFirst);
        assertArrayEquals(BODY, loopback.client().request(1, 0x14, 0x82, 2000).body());
        assertEquals(2, responses.get());
    }

    /**
     * A cache responds with a field that can't be used. The attempt must end at once, as failed,
     * and not wait for its time-out; the request is retried at the other cache.
     */
    @Test
    void aResponseWhoseFieldsCannotBeUsedEndsItsAttemptAtOnce() throws Exception {
        AtomicInteger requests = new AtomicInteger();
        FakeEndpoint.FrameHandler spoilsFirst =
                (request, out, socket) ->
                        out.write(
                                FakeEndpoint.frame(
                                        Frame.OK,
                                        request.id(),
                                        requests.getAndIncrement() == 0
                                                ? "tell=hit,fill=soon"
                                                : "tell=hit",
                                        BODY));
        loopback.start(spoilsFirst, spoilsFirst);
        assertArrayEquals(BODY, loopback.client().request(1, 0x31, 0x95, 2000).body());
        assertEquals(2, requests.get());
    }

    /**
     * A cache responds to requests that nobody made, and twice to those that were made. The
     * superfluous responses are read and dropped; each client request gets exactly one.
     */
    @Test
    void responsesThatNobodyWaitsForAreDropped() throws Exception {
        loopback.start(
                (request, out, socket) -> {
                    out.write(FakeEndpoint.frame(Frame.OK, 999, "tell=hit", new byte[5000]));
                    out.write(FakeEndpoint.frame(Frame.OK, request.id(), "tell=hit", BODY));
                    out.write(FakeEndpoint.frame(Frame.OK, request.id(), "tell=hit", BODY));
                });
        for (int i = 1; i <= 20; i++) {
            assertArrayEquals(BODY, loopback.client().request(i, 0x100 + i, 0x83, 2000).body());
        }
    }

    /**
     * A cache dies in the middle of a response. The client must not see the part that came; the
     * request is retried at the other cache.
     */
    @Test
    void anEndpointThatBreaksOffIsReplacedByAnother() throws Exception {
        AtomicInteger requests = new AtomicInteger();
        FakeEndpoint.FrameHandler breaksOffFirst =
                (request, out, socket) -> {
                    if (requests.getAndIncrement() == 0) {
                        out.write(
                                FakeEndpoint.frame(Frame.OK, request.id(), "tell=hit", BODY),
                                0,
                                20);
                        socket.close();
                    } else {
                        FakeEndpoint.serving(BODY).handle(request, out, socket);
                    }
                };
        loopback.start(breaksOffFirst, breaksOffFirst);
        assertArrayEquals(BODY, loopback.client().request(1, 0x15, 0x84, 2000).body());
    }

    /**
     * A machine vanishes without a sign: its connections stay open and silent. The client must get
     * a final response by its deadline all the same, with the time after which it may retry.
     */
    @Test
    void aSilentEndpointLeavesNoRequestWithoutAResponse() throws Exception {
        loopback.start((request, out, socket) -> {});
        Response response = loopback.client().request(1, 0x16, 0x85, 300);
        assertEquals("Overloaded", response.error());
        assertEquals("2000", response.fields().get("w"));
    }

    /** No endpoint of the list listens any more. The client gets an error, not silence. */
    @Test
    void endpointsThatAreNotThereLeaveNoRequestWithoutAResponse() throws Exception {
        loopback.start(FakeEndpoint.serving(BODY));
        loopback.cache(0).close();
        loopback.origin().close();
        assertNotNull(loopback.client().request(1, 0x17, 0x86, 1000).error());
    }
}
