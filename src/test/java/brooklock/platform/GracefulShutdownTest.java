package brooklock.platform;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import brooklock.platform.RpcTestClient.Response;
import java.io.IOException;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.extension.RegisterExtension;

/** Tests a dispatcher that shuts down while requests are open and new ones still arrive. */
@Timeout(120)
class GracefulShutdownTest {
    private static final byte[] BODY = LoopbackDispatcher.BODY;

    @RegisterExtension private final LoopbackDispatcher loopback = new LoopbackDispatcher();

    /**
     * A request to a slow endpoint is open when the drain begins, and another client connects and
     * sends a request afterwards. Health checks must be answered with false, and both requests must
     * be answered before the drain ends.
     */
    @Test
    void aDrainAnswersOpenAndNewRequests() throws Exception {
        loopback.start(
                (request, out, socket) -> {
                    if (request.id() == 0x25) {
                        while (loopback.cache(0).received.size() < 2) {
                            Thread.onSpinWait();
                        }
                    }
                    FakeEndpoint.serving(BODY).handle(request, out, socket);
                });
        loopback.client().send(read(1, 0x25, 0x91));
        LoopbackDispatcher.await(() -> !loopback.cache(0).received.isEmpty());
        Thread drain = new Thread(this::drain);
        drain.start();
        try (RpcTestClient other = loopback.newClient()) {
            while (isHealthy(other)) {
                Thread.onSpinWait();
            }
            other.send(read(3, 0x26, 0x92));
            assertArrayEquals(BODY, bodyOfResponse(other, 3));
        }
        assertArrayEquals(BODY, loopback.client().response().body());
        drain.join();
        assertFalse(drain.isAlive());
    }

    private void drain() {
        try {
            loopback.dispatcher().shutDownGracefully();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static byte[] read(long messageId, long id, long object) {
        return RpcTestClient.encodeCall(
                messageId,
                TestConfigs.READ_CLASS,
                RpcTestClient.fields(id, object, 2400),
                new byte[0]);
    }

    private static boolean isHealthy(RpcTestClient client)
            throws IOException, MalformedMessageException {
        client.send(RpcTestClient.encodeCall(2, "isWell", Map.of(), null));
        return client.response().healthy();
    }

    private static byte[] bodyOfResponse(RpcTestClient client, long messageId)
            throws IOException, MalformedMessageException {
        for (Response response = client.response();
                response != null;
                response = client.response()) {
            if (response.messageId() == messageId) {
                return response.body();
            }
        }
        return null;
    }
}
