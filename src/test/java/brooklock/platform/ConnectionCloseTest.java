package brooklock.platform;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brooklock.net.RawConnection;
import brooklock.routing.EndpointState;
import brooklock.routing.RouterEvent;
import brooklock.routing.RouterEvent.RequestReceived;
import java.io.IOException;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Bytes that come at the very moment at which a client's connection is shut or closed. */
@Timeout(60)
class ConnectionCloseTest {
    private static final byte[] HEALTH_CHECK =
            RpcTestClient.encodeCall(1, "isWell", Map.of(), null);

    private final CountDownLatch shutDown = new CountDownLatch(1);
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

    private static byte[] read(long messageId, long id) {
        return RpcTestClient.encodeCall(
                messageId,
                TestConfigs.READ_CLASS,
                RpcTestClient.fields(id, 0x7f, 2000),
                new byte[0]);
    }

    private void awaitHealthCheck() throws IOException {
        client.getOutputStream().write(HEALTH_CHECK);
        assertTrue(client.getInputStream().read() >= 0);
        client.getInputStream().readNBytes(client.getInputStream().available());
    }

    private boolean isListening() {
        try (Socket socket = new Socket(fixture.address.getAddress(), fixture.address.getPort())) {
            return socket.isConnected();
        } catch (IOException refused) {
            return false;
        }
    }

    private void shutDownOnIoThread() {
        fixture.loop.execute(() -> fixture.clientListener.shutDown(shutDown::countDown));
    }

    private static void assertRejected(Socket socket) throws IOException {
        byte[] response = socket.getInputStream().readAllBytes();
        assertTrue(new String(response, StandardCharsets.ISO_8859_1).contains("Overloaded"));
    }

    /**
     * A call comes after the shutdown has begun and lies unread when idle connections are closed.
     * It must be read and rejected before the connection closes, not lost.
     */
    @Test
    void aCallThatIsUnreadAtTheShutdownIsAnswered() throws Exception {
        awaitHealthCheck();
        shutDownOnIoThread();
        Runnable release = fixture.blockIoThread();
        client.getOutputStream().write(read(2, 0x21));
        // Until idle connections are due to be closed: that happens before sockets are read again.
        for (long startNs = System.nanoTime();
                System.nanoTime() - startNs < 2 * ClientListener.SHUTDOWN_POLL_NS; ) {
            Thread.onSpinWait();
        }
        release.run();
        assertRejected(client);
        client.close();
        assertTrue(shutDown.await(20, TimeUnit.SECONDS));
    }

    /**
     * A client's connection has been accepted by the operating system but not by the dispatcher
     * when the shutdown begins. Its call must be answered: to the client the connection was open.
     */
    @Test
    void aConnectionInTheAcceptQueueIsServedBeforeTheListenerCloses() throws Exception {
        Runnable release = fixture.blockIoThread();
        try (Socket late = new Socket(fixture.address.getAddress(), fixture.address.getPort())) {
            late.setSoTimeout(20_000);
            late.getOutputStream().write(read(1, 0x22));
            shutDownOnIoThread();
            release.run();
            assertRejected(late);
        }
    }

    /**
     * Calls come after the dispatcher has shut its side of the connection. No response could reach
     * the client, so they must not be forwarded; and they must not reset the connection.
     */
    @Test
    void callsAfterOutputIsShutDownAreDroppedWithoutAReset() throws Exception {
        awaitHealthCheck();
        shutDownOnIoThread();
        assertEquals(-1, client.getInputStream().read());
        client.getOutputStream().write(read(2, 0x23));
        client.getOutputStream().write(read(3, 0x24));
        assertEquals(-1, client.getInputStream().read());
        client.shutdownOutput();
        assertTrue(shutDown.await(20, TimeUnit.SECONDS));
        assertTrue(fixture.allEvents.stream().noneMatch(RequestReceived.class::isInstance));
    }

    /**
     * Only the first byte of a call has come when the shutdown begins. The connection is not idle,
     * and the rest of the call must be read and answered.
     */
    @Test
    void aPartiallyReadCallKeepsItsConnectionOpenAtTheShutdown() throws Exception {
        awaitHealthCheck();
        byte[] call = read(2, 0x25);
        // The first byte of a longer token: the decoder has taken nothing of it yet.
        byte[] wide =
                RpcTestClient.concat(
                        new byte[] {(byte) 0xdc, 0, 4}, Arrays.copyOfRange(call, 1, call.length));
        client.getOutputStream().write(wide, 0, 1);
        shutDownOnIoThread();
        // The listener closes in the same task that closes idle connections.
        while (isListening()) {
            Thread.onSpinWait();
        }
        fixture.onIoThread(() -> null);
        client.getOutputStream().write(wide, 1, wide.length - 1);
        assertRejected(client);
    }

    /**
     * A fault of the protocol's handler must cost the connection whose bytes caused it, not the I/O
     * thread, on which every other connection depends.
     */
    @Test
    void anExceptionInAnInputHandlerClosesOnlyItsConnection() throws Exception {
        CountDownLatch closed = new CountDownLatch(1);
        AtomicInteger calls = new AtomicInteger();
        RawConnection[] pair = fixture.onIoThread(() -> RawConnection.pair(fixture.loop));
        fixture.onIoThread(
                () -> {
                    pair[0].start(
                            new RawConnection.EventListener() {
                                @Override
                                public void onBytes(ByteBuffer in) {
                                    calls.incrementAndGet();
                                    throw new IllegalStateException("a fault of the test's own");
                                }

                                @Override
                                public void onClose(String reason) {
                                    closed.countDown();
                                }
                            });
                    pair[1].write(ByteBuffer.allocate(3));
                    return null;
                });
        assertTrue(closed.await(20, TimeUnit.SECONDS));
        awaitHealthCheck();
        assertEquals(1, calls.get());
    }

    /** A request is open when the shutdown begins: its response comes before the side is shut. */
    @Test
    void anOpenRequestIsAnsweredBeforeOutputIsShutDown() throws Exception {
        client.getOutputStream().write(read(1, 0x26));
        DispatcherFixture.EndpointPeer endpoint = fixture.connect(fixture.nextConnectRequest());
        assertEquals(0x26, endpoint.nextFrame().id());
        shutDownOnIoThread();
        fixture.onIoThread(() -> null);
        endpoint.respond(Frame.OK, 0x26, "rev=1");
        byte[] response = client.getInputStream().readAllBytes();
        assertArrayEquals(new byte[] {(byte) 0x94, 1, 1, (byte) 0xc0}, Arrays.copyOf(response, 4));
    }

    /**
     * A response waits to be read by the client, and the client sends bytes that are no message. A
     * plain close over the unread bytes would reset the connection, and the response would be lost.
     */
    @Test
    void aCloseWithUnreadInputLosesNoResponse() throws Exception {
        client.getOutputStream().write(read(1, 0x27));
        DispatcherFixture.EndpointPeer endpoint = fixture.connect(fixture.nextConnectRequest());
        endpoint.nextFrame();
        endpoint.respond(Frame.OVERLOADED, 0x27, "");
        fixture.nextEvent(RouterEvent.AttemptCompleted.class);
        Runnable release = fixture.blockIoThread();
        byte[] noise = new byte[100_000];
        Arrays.fill(noise, (byte) 0xc1);
        client.getOutputStream().write(noise);
        release.run();
        // A reset would throw here, or bring less.
        assertRejected(client);
    }
}
