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

/** What a listener of a raw connection can rely on, and how connecting ends. */
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

    private static String next(BlockingQueue<String> events) throws InterruptedException {
        return events.poll(20, TimeUnit.SECONDS);
    }

    /** How a {@link ConnectAttempt} ends; never from within the call that starts it. */
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
            assertEquals("started", next(events));
            assertEquals("opened", next(events));
        }

        @Test
        void failsAfterTheCallThatStartsIt() throws Exception {
            InetSocketAddress unused = address();
            server.close();
            loop.execute(() -> connect(unused, TIMEOUT_NS));
            assertEquals("started", next(events));
            assertTrue(next(events).startsWith("failed: "));
        }

        @Test
        void callsNothingOnceCancelled() throws Exception {
            loop.execute(() -> connect(address(), TIMEOUT_NS).cancel());
            assertEquals("started", next(events));
            try (Socket accepted = server.accept()) {
                assertEquals(-1, accepted.getInputStream().read(), "it is closed again");
            } catch (IOException reset) {
                // Cancelled before the server had accepted it.
            }
            assertEquals(0, events.size());
        }
    }

    /** The calls that a listener gets. */
    @Nested
    class Listening {
        private final BlockingQueue<String> events = new LinkedBlockingQueue<>();
        private final BlockingQueue<RawConnection> opened = new LinkedBlockingQueue<>();
        private int leaveBytes;

        private final RawConnection.EventListener listener =
                new RawConnection.EventListener() {
                    @Override
                    public void onBytes(ByteBuffer in) {
                        events.add(StandardCharsets.US_ASCII.decode(in.duplicate()).toString());
                        in.position(Math.max(in.position(), in.limit() - leaveBytes));
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
            leaveBytes = 1;
            try (Socket peer = connect()) {
                send(peer, "ab");
                assertEquals("ab", next(events));
                send(peer, "c");
                assertEquals("bc", next(events));
            }
        }

        /** A listener that never consumes would make the socket ready for ever. */
        @Test
        void closesWhereAWholeBufferIsLeft() throws Exception {
            leaveBytes = Integer.MAX_VALUE;
            try (Socket peer = connect()) {
                send(peer, "x".repeat(BufferPool.BUFFER_BYTES));
                String event = next(events);
                while (!event.startsWith("closed")) {
                    event = next(events);
                }
                assertEquals("closed: a whole buffer was left", event);
            }
        }

        @Test
        void reportsTheTimeoutOnceAndTheClose() throws Exception {
            try (Socket peer = connect()) {
                RawConnection connection = connection();
                loop.execute(() -> connection.setTimeout(SHORT_TIMEOUT_NS));
                assertEquals("timeout", next(events));
                peer.close();
                assertEquals("closed: closed by the peer", next(events));
            }
        }

        /** The peer reads everything that was written, then the end; the listener hears no more. */
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
                assertEquals("done", next(events));
                assertEquals(0, events.size());
            }
        }
    }
}
