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

/** Tests how requests are forwarded to endpoints and how their responses are sent to clients. */
@Timeout(120)
class PlatformRequestForwardingTest {
    @RegisterExtension private final LoopbackDispatcher loopback = new LoopbackDispatcher();

    @Test
    void aReadIsForwardedAsDecidedAndServed() throws Exception {
        loopback.start(FakeEndpoint.serving(LoopbackDispatcher.BODY));
        Response response = loopback.client().request(1, 0x11, 0x7f, 2000);
        assertNull(response.error());
        assertArrayEquals(LoopbackDispatcher.BODY, response.body());
        FakeEndpoint.ReceivedFrame request = loopback.cache(0).received.get(0);
        assertEquals(0x11, request.id());
        assertEquals(
                Map.of(
                        "cls",
                        "pages",
                        "item",
                        "000000000000007f",
                        "chunk",
                        "0",
                        "up",
                        "s-o",
                        "store",
                        "1",
                        "do",
                        "share",
                        "limit",
                        request.fields().get("limit")),
                request.fields());
        assertTrue(Integer.parseInt(request.fields().get("limit")) <= 2000);
    }

    @Test
    void aWriteGoesToTheOriginWithItsIdempotencyKeyAndBody() throws Exception {
        loopback.start(FakeEndpoint.serving(LoopbackDispatcher.BODY));
        Map<String, String> fields = RpcTestClient.fields(0x12, 0x80, 2000);
        fields.put("k", "5c0f6e1a2b3d4c59a8b7c6d5e4f30211");
        loopback.client()
                .send(
                        RpcTestClient.encodeCall(
                                1, TestConfigs.WRITE_CLASS, fields, LoopbackDispatcher.BODY));
        assertNull(loopback.client().response().error());
        FakeEndpoint.ReceivedFrame request = loopback.origin().received.get(0);
        assertArrayEquals(LoopbackDispatcher.BODY, request.body());
        assertEquals("5c0f6e1a2b3d4c59a8b7c6d5e4f30211", request.fields().get("nonce"));
        assertTrue(loopback.cache(0).received.isEmpty());
    }

    @Test
    void aCurrentCopyIsConfirmedWithoutABody() throws Exception {
        loopback.start(
                (request, out, socket) ->
                        out.write(
                                FakeEndpoint.frame(
                                        Frame.NOT_MODIFIED,
                                        request.id(),
                                        "rev=0123456789abcdef,tell=hit",
                                        new byte[0])));
        Map<String, String> fields = RpcTestClient.fields(0x13, 0x81, 2000);
        fields.put("etag", "0123456789abcdef");
        loopback.client()
                .send(RpcTestClient.encodeCall(1, TestConfigs.READ_CLASS, fields, new byte[0]));
        Response response = loopback.client().response();
        assertEquals(Map.of("notmod", "1"), response.fields());
        assertEquals(0, response.body().length);
        assertEquals("0123456789abcdef", loopback.cache(0).received.get(0).fields().get("inm"));
    }
}
