package brooklock.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import brooklock.net.RawConnection;
import brooklock.routing.EndpointState;
import brooklock.routing.RouterEvent.AttemptCompleted;
import brooklock.routing.RouterEvent.RequestReceived;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests clients that would occupy a connection indefinitely or exhaust the heap. */
@Timeout(60)
class ClientLimitTest {
    private DispatcherFixture fixture;
    private Socket client;

    @BeforeEach
    void start() throws Exception {
        fixture = new DispatcherFixture(64, DispatcherFixture.rejectingUnlessServedBy("a"));
        fixture.updateList(EndpointState.READY, "a");
        client = new Socket(fixture.address.getAddress(), fixture.address.getPort());
        client.setSoTimeout(20_000);
        client.setTcpNoDelay(true);
    }

    @AfterEach
    void stop() throws IOException {
        client.close();
        fixture.close();
    }

    /** The client's side of a connection; ignores all events. */
    private static final class SilentPeer implements RawConnection.EventListener {
        @Override
        public void onBytes(ByteBuffer input) {
            input.position(input.limit());
        }

        @Override
        public void onClose(String reason) {
            // The test asks the dispatcher's side.
        }
    }

    private static byte[] write(long messageId, long id, int bodyBytes) {
        Map<String, String> fields = RpcTestClient.fields(id, 0x7f, 2000);
        fields.put("k", "5c0f6e1a2b3d4c59a8b7c6d5e4f30211");
        return RpcTestClient.encodeCall(
                messageId, TestConfigs.WRITE_CLASS, fields, new byte[bodyBytes]);
    }

    /**
     * A client sends one byte at a time, often enough to restart the progress timeout each time.
     * Its connection must be closed once the message takes too long.
     */
    @Test
    void aMessageSentByteByByteTimesOut() throws Exception {
        fixture.onIoThread(
                () -> {
                    fixture.clientListener.setMessageTimeoutNs(100_000_000);
                    return null;
                });
        byte[] call = write(1, 0x28, RpcDecoder.MAX_BODY_BYTES);
        int sent = 0;
        client.setSoTimeout(1);
        int read = 0;
        while (read >= 0 && sent < call.length - 1) {
            client.getOutputStream().write(call, sent++, 1);
            try {
                read = client.getInputStream().read();
            } catch (SocketTimeoutException stillOpen) {
                read = 0;
            }
        }
        assertEquals(-1, read);
    }

    /**
     * The bodies of open requests use all memory that bodies may use. Another request with a body
     * must be rejected immediately; the open request must be answered and removed.
     */
    @Test
    void requestsAboveTheBodyMemoryLimitAreRejected() throws Exception {
        fixture.onIoThread(
                () -> {
                    fixture.memory
                            .requests()
                            .setMaxBytes(2 * PendingClientRequestTable.REQUEST_BYTES + 1500);
                    return null;
                });
        try (RpcTestClient writer = new RpcTestClient(fixture.address)) {
            for (int i = 1; i <= 2; i++) {
                writer.send(write(i, 0x30 + i, 1000));
            }
            RpcTestClient.Response rejected = writer.response();
            assertEquals(2, rejected.messageId());
            assertEquals("Overloaded", rejected.error());
            DispatcherFixture.EndpointPeer endpoint = fixture.connect(fixture.nextConnectRequest());
            endpoint.respond(Frame.OK, endpoint.nextFrame().id(), "rev=1");
            assertEquals(1, writer.response().messageId());
            assertEquals(0, fixture.onIoThread(fixture.executor::openRequests));
        }
    }

    /**
     * A client sends requests and does not read its responses. Its connection must be closed before
     * the pending responses exhaust the heap.
     */
    @Test
    void aClientThatDoesNotReadItsResponsesIsDisconnected() throws Exception {
        fixture.onIoThread(
                () -> {
                    fixture.memory.clientOutput().setMaxBytes(300_000);
                    return null;
                });
        client.getOutputStream().write(RpcTestClient.encodeCall(1, "isWell", Map.of(), null));
        DispatcherFixture.EndpointPeer endpoint = null;
        client.getInputStream().read();
        for (int i = 1;
                i <= 64 && fixture.onIoThread(fixture.clientListener::connectionCount) > 0;
                i++) {
            client.getOutputStream()
                    .write(
                            RpcTestClient.encodeCall(
                                    i + 1,
                                    TestConfigs.READ_CLASS,
                                    RpcTestClient.fields(0x100 + i, 0x7f, 2000),
                                    new byte[0]));
            fixture.nextEvent(RequestReceived.class);
            endpoint = endpoint == null ? fixture.connect(fixture.nextConnectRequest()) : endpoint;
            endpoint.respond(Frame.OK, endpoint.nextFrame().id(), "rev=1", Frame.MAX_BODY_BYTES);
            fixture.nextEvent(AttemptCompleted.class);
        }
        assertEquals(0, fixture.onIoThread(fixture.clientListener::connectionCount));
    }

    /**
     * Guards against short responses that fill the heap: a client sends health checks and reads no
     * responses. Each takes half a kilobyte of memory but has a dozen bytes. They must count with
     * their memory, so that reading from the client is suspended in time.
     */
    @Test
    void shortResponsesThatAreNotReadCountWithTheirMemory() throws Exception {
        int healthChecks = 20_000;
        int responseBytes = 12;
        ClientConnection connection =
                fixture.onIoThread(
                        () -> {
                            RawConnection[] pair = RawConnection.pair(fixture.loop);
                            pair[1].start(new SilentPeer());
                            pair[1].setReading(false);
                            for (int i = 1; i <= healthChecks; i++) {
                                pair[1].write(RpcEncoder.healthCheck(i));
                            }
                            ClientConnection accepted =
                                    new ClientConnection(fixture.clientListener, pair[0]);
                            accepted.start();
                            return accepted;
                        });
        while (fixture.onIoThread(connection::pendingWriteBytes)
                < 2L * healthChecks * responseBytes) {
            TimeUnit.MILLISECONDS.sleep(2);
        }
    }
}
