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

/** Tests input that arrives while a client's connection is being shut down or closed. */
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
     * A call arrives after the shutdown has begun and is still unread when idle connections are
     * closed. It must be read and rejected before the connection closes; otherwise it would be
     * lost.
     */
    @Test
    void aCallThatIsUnreadAtTheShutdownIsAnswered() throws Exception {
        awaitHealthCheck();
        shutDownOnIoThread();
        Runnable release = fixture.blockIoThread();
        client.getOutputStream().write(read(2, 0x21));
        // Wait until idle connections are due to be closed, which happens before the next read.
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
     * A connection has been established by the operating system but not yet accepted by the
     * dispatcher when the shutdown begins. Its call must be answered, because the connection is
     * already open for the client.
     */
    @Test
    void aConnectionInTheAcceptQueueIsServedBeforeTheListenerCloses() throws Exception {
        Runnable release = fixture.blockIoThread();
        try (Socket lateClient =
                new Socket(fixture.address.getAddress(), fixture.address.getPort())) {
            lateClient.setSoTimeout(20_000);
            lateClient.getOutputStream().write(read(1, 0x22));
            shutDownOnIoThread();
            release.run();
            assertRejected(lateClient);
        }
    }

    /**
     * Calls arrive after the dispatcher has shut down output on the connection. They must not be
     * forwarded, since no response could reach the client, and they must not cause a reset.
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
     * Only the first byte of a call has arrived when the shutdown begins. The connection is not
     * idle; the rest of the call must be read and answered.
     */
    @Test
    void aPartiallyReadCallKeepsItsConnectionOpenAtTheShutdown() throws Exception {
        awaitHealthCheck();
        byte[] call = read(2, 0x25);
        // The array header is encoded in three bytes, so that its first byte stays in the buffer.
        byte[] wide =
                RpcTestClient.concat(
                        new byte[] {(byte) 0xdc, 0, 4}, Arrays.copyOfRange(call, 1, call.length));
        client.getOutputStream().write(wide, 0, 1);
        shutDownOnIoThread();
        // The listening socket is closed by the same task that closes idle connections.
        while (isListening()) {
            Thread.onSpinWait();
        }
        fixture.onIoThread(() -> null);
        client.getOutputStream().write(wide, 1, wide.length - 1);
        assertRejected(client);
    }

    /**
     * An input handler throws an exception. Only the connection that received the input may be
     * closed; the I/O thread, on which all other connections depend, must continue.
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
                                public void onBytes(ByteBuffer input) {
                                    calls.incrementAndGet();
                                    throw new IllegalStateException("thrown by the test");
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

    /**
     * A request is open when the shutdown begins. It must be answered before output is shut down.
     */
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
     * A response is waiting to be read by the client when the client sends an invalid message. An
     * immediate close with unread input would reset the connection, and the response would be lost.
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
        // A reset would cause an exception or a truncated response here.
        assertRejected(client);
    }

    /**
     * Guards against requests that are sent on for a client that has left: the client closes its
     * connection while its calls are unread, so nobody would receive the responses.
     */
    @Test
    void callsOfAClientThatHasLeftAreNotForwarded() throws Exception {
        awaitHealthCheck();
        Runnable release = fixture.blockIoThread();
        client.getOutputStream().write(read(2, 0x29));
        client.getOutputStream().write(read(3, 0x2a));
        client.close();
        release.run();
        while (fixture.onIoThread(fixture.clientListener::connectionCount) > 0) {
            Thread.onSpinWait();
        }
        assertTrue(fixture.allEvents.stream().noneMatch(RequestReceived.class::isInstance));
    }

    /**
     * Guards against a shutdown that stands still: a client cancels calls at full speed, so that
     * each read ends at the end of a message and leaves its connection idle. Other clients must get
     * their responses, and the shutdown must end although the client never stops.
     */
    @Test
    void aFloodOfCancellationsDoesNotHoldUpTheShutdown() throws Exception {
        client.getOutputStream().write(read(1, 0x28));
        DispatcherFixture.EndpointPeer endpoint = fixture.connect(fixture.nextConnectRequest());
        assertEquals(0x28, endpoint.nextFrame().id());
        try (Socket flooding =
                new Socket(fixture.address.getAddress(), fixture.address.getPort())) {
            Thread flood = new Thread(() -> sendCancellations(flooding));
            flood.start();
            fixture.onIoThread(() -> null);
            shutDownOnIoThread();
            while (isListening()) {
                Thread.onSpinWait();
            }
            endpoint.respond(Frame.OK, 0x28, "rev=1");
            byte[] response = client.getInputStream().readAllBytes();
            assertArrayEquals(
                    new byte[] {(byte) 0x94, 1, 1, (byte) 0xc0}, Arrays.copyOf(response, 4));
            client.close();
            assertTrue(shutDown.await(20, TimeUnit.SECONDS));
            flood.join();
        }
    }

    // Sends cancellations of 16 bytes each, which fill the dispatcher's buffer evenly, until the
    // dispatcher closes the connection.
    private static void sendCancellations(Socket socket) {
        byte[] cancellation = {
            (byte) 0x93,
            2,
            (byte) 0xd9,
            6,
            'f',
            'o',
            'r',
            'g',
            'e',
            't',
            (byte) 0x91,
            (byte) 0xce,
            0,
            1,
            0,
            0
        };
        byte[] block = RpcTestClient.concat(cancellation);
        while (block.length < 65_536) {
            block = RpcTestClient.concat(block, block);
        }
        try {
            while (true) {
                socket.getOutputStream().write(block);
            }
        } catch (IOException closedByDispatcher) {
            // The dispatcher has closed the connection.
        }
    }
}
