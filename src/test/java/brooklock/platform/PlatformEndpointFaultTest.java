package brooklock.platform;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import brooklock.platform.RpcTestClient.Response;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.extension.RegisterExtension;

/**
 * Tests endpoints that send malformed, truncated or unexpected responses, are silent or do not
 * listen.
 */
@Timeout(120)
class PlatformEndpointFaultTest {
    private static final byte[] BODY = LoopbackDispatcher.BODY;

    @RegisterExtension private final LoopbackDispatcher loopback = new LoopbackDispatcher();

    /**
     * One bit in the body of a cache's response is flipped. The checksum must reveal that before
     * any byte is sent to the client; the request is retried at the other cache.
     */
    @Test
    void aDamagedResponseIsNotForwardedAndTheRequestIsRetried() throws Exception {
        AtomicInteger responses = new AtomicInteger();
        FakeEndpoint.FrameHandler corruptsFirst =
                (request, out, socket) -> {
                    byte[] frame = FakeEndpoint.frame(Frame.OK, request.id(), "tell=hit", BODY);
                    if (responses.getAndIncrement() == 0) {
                        frame[frame.length - 6] ^= 1;
                    }
                    out.write(frame);
                };
        loopback.start(corruptsFirst, corruptsFirst);
        assertArrayEquals(BODY, loopback.client().request(1, 0x14, 0x82, 2000).body());
        assertEquals(2, responses.get());
    }

    /**
     * A cache responds with a malformed field. The attempt must fail immediately instead of waiting
     * for its time-out; the request is retried at the other cache.
     */
    @Test
    void aResponseWithAMalformedFieldEndsItsAttemptImmediately() throws Exception {
        AtomicInteger requests = new AtomicInteger();
        FakeEndpoint.FrameHandler firstIsMalformed =
                (request, out, socket) ->
                        out.write(
                                FakeEndpoint.frame(
                                        Frame.OK,
                                        request.id(),
                                        requests.getAndIncrement() == 0
                                                ? "tell=hit,fill=soon"
                                                : "tell=hit",
                                        BODY));
        loopback.start(firstIsMalformed, firstIsMalformed);
        assertArrayEquals(BODY, loopback.client().request(1, 0x31, 0x95, 2000).body());
        assertEquals(2, requests.get());
    }

    /**
     * A cache responds to unknown requests and twice to each actual request. The unexpected
     * responses must be dropped; each client request gets exactly one response.
     */
    @Test
    void unexpectedResponsesAreDropped() throws Exception {
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
     * A cache closes its connection in the middle of a response. The client must not receive the
     * truncated response; the request is retried at the other cache.
     */
    @Test
    void aRequestIsRetriedAfterATruncatedResponse() throws Exception {
        AtomicInteger requests = new AtomicInteger();
        FakeEndpoint.FrameHandler truncatesFirst =
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
        loopback.start(truncatesFirst, truncatesFirst);
        assertArrayEquals(BODY, loopback.client().request(1, 0x15, 0x84, 2000).body());
    }

    /**
     * A machine fails without closing its connections. The client must nevertheless get a final
     * response by its deadline, with the time after which it may retry.
     */
    @Test
    void aRequestToASilentEndpointIsAnsweredByItsDeadline() throws Exception {
        loopback.start((request, out, socket) -> {});
        Response response = loopback.client().request(1, 0x16, 0x85, 300);
        assertEquals("Overloaded", response.error());
        assertEquals("2000", response.fields().get("w"));
    }

    /** No endpoint of the list listens any more. The client must still get an error response. */
    @Test
    void aRequestIsAnsweredIfNoEndpointListens() throws Exception {
        loopback.start(FakeEndpoint.serving(BODY));
        loopback.cache(0).close();
        loopback.origin().close();
        assertNotNull(loopback.client().request(1, 0x17, 0x86, 1000).error());
    }
}
