package brooklock.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests the callbacks of {@link RawConnection.EventListener} and {@link ConnectAttempt}. */
class RawConnectionTest {
    private static final long TIMEOUT_NS = 20_000_000_000L;
    private static final long SHORT_TIMEOUT_NS = 50_000_000L;

    private IoThreads ioThreads;
    private IoLoop loop;
    private ServerSocket server;

    @BeforeEach
    void start() throws IOException {
        ioThreads = IoThreads.start("raw", 1);
        loop = ioThreads.loop(0);
        server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
        server.setSoTimeout(20_000);
    }

    @AfterEach
    void stop() throws IOException {
        server.close();
        ioThreads.close();
    }

    private InetSocketAddress address() {
        return new InetSocketAddress(server.getInetAddress(), server.getLocalPort());
    }

    private static String nextEvent(BlockingQueue<String> events) throws InterruptedException {
        return events.poll(20, TimeUnit.SECONDS);
    }

    /**
     * Tests that no callback of a {@link ConnectAttempt} is called before {@link
     * ConnectAttempt#connect} has returned.
     */
    @Nested
    class Connecting {
        private final BlockingQueue<String> events = new LinkedBlockingQueue<>();

        private ConnectAttempt connect(InetSocketAddress to, long timeoutNs) {
            ConnectAttempt attempt =
                    ConnectAttempt.connect(
                            loop,
                            to,
                            timeoutNs,
                            connection -> events.add("opened"),
                            reason -> events.add("failed: " + reason));
            events.add("started");
            return attempt;
        }

        @Test
        void opensAfterTheCallThatStartsIt() throws Exception {
            loop.execute(() -> connect(address(), TIMEOUT_NS));
            assertEquals("started", nextEvent(events));
            assertEquals("opened", nextEvent(events));
        }

        @Test
        void failsAfterTheCallThatStartsIt() throws Exception {
            InetSocketAddress unused = address();
            server.close();
            loop.execute(() -> connect(unused, TIMEOUT_NS));
            assertEquals("started", nextEvent(events));
            assertTrue(nextEvent(events).startsWith("failed: "));
        }

        @Test
        void callsNothingOnceCancelled() throws Exception {
            loop.execute(() -> connect(address(), TIMEOUT_NS).cancel());
            assertEquals("started", nextEvent(events));
            try (Socket accepted = server.accept()) {
                assertEquals(
                        -1,
                        accepted.getInputStream().read(),
                        "a connection that was opened before the cancellation is closed");
            } catch (IOException reset) {
                // The attempt was cancelled before the server accepted the connection.
            }
            assertEquals(0, events.size());
        }
    }

    /** Tests the calls that an event listener receives. */
    @Nested
    class ListenerCallbacks {
        private final BlockingQueue<String> events = new LinkedBlockingQueue<>();
        private final BlockingQueue<RawConnection> opened = new LinkedBlockingQueue<>();
        private int unconsumedBytes;

        private final RawConnection.EventListener listener =
                new RawConnection.EventListener() {
                    @Override
                    public void onBytes(ByteBuffer in) {
                        events.add(StandardCharsets.US_ASCII.decode(in.duplicate()).toString());
                        in.position(Math.max(in.position(), in.limit() - unconsumedBytes));
                    }

                    @Override
                    public void onTimeout() {
                        events.add("timeout");
                    }

                    @Override
                    public void onClose(String reason) {
                        events.add("closed: " + reason);
                    }
                };

        private Socket connect() throws Exception {
            loop.execute(
                    () ->
                            ConnectAttempt.connect(
                                    loop,
                                    address(),
                                    TIMEOUT_NS,
                                    connection -> {
                                        connection.start(listener);
                                        opened.add(connection);
                                    },
                                    events::add));
            return server.accept();
        }

        private RawConnection connection() throws InterruptedException {
            RawConnection connection = opened.poll(20, TimeUnit.SECONDS);
            assertNotNull(connection);
            return connection;
        }

        private void send(Socket socket, String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
        }

        @Test
        void offersUnconsumedInputAgainWithWhatFollows() throws Exception {
            unconsumedBytes = 1;
            try (Socket peer = connect()) {
                send(peer, "ab");
                assertEquals("ab", nextEvent(events));
                send(peer, "c");
                assertEquals("bc", nextEvent(events));
            }
        }

        /**
         * Without the close, a listener that consumes nothing would keep the socket ready for ever.
         */
        @Test
        void closesWhenAFullBufferIsLeftUnconsumed() throws Exception {
            unconsumedBytes = Integer.MAX_VALUE;
            try (Socket peer = connect()) {
                send(peer, "x".repeat(BufferPool.BUFFER_BYTES));
                String event = nextEvent(events);
                while (!event.startsWith("closed")) {
                    event = nextEvent(events);
                }
                assertEquals(
                        "closed: the listener left a full input buffer of 16384 bytes unconsumed",
                        event);
            }
        }

        @Test
        void reportsTheTimeoutOnceAndTheClose() throws Exception {
            try (Socket peer = connect()) {
                RawConnection connection = connection();
                loop.execute(() -> connection.setTimeout(SHORT_TIMEOUT_NS));
                assertEquals("timeout", nextEvent(events));
                peer.close();
                assertEquals("closed: closed by the peer", nextEvent(events));
            }
        }

        /**
         * The peer reads everything written and the end of input; the listener is not called again.
         */
        @Test
        void closesGracefullyAfterWhatWasWritten() throws Exception {
            try (Socket peer = connect()) {
                RawConnection connection = connection();
                loop.execute(
                        () -> {
                            connection.write(
                                    ByteBuffer.wrap("bye".getBytes(StandardCharsets.US_ASCII)));
                            connection.closeGracefully(TIMEOUT_NS, () -> events.add("done"));
                        });
                assertEquals(
                        "bye",
                        new String(
                                peer.getInputStream().readAllBytes(), StandardCharsets.US_ASCII));
                send(peer, "too late");
                peer.close();
                assertEquals("done", nextEvent(events));
                assertEquals(0, events.size());
            }
        }
    }
}
