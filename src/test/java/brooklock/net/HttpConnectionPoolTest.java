package brooklock.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brooklock.credentials.CertificateTrust;
import brooklock.credentials.LocalCertificateAuthority;
import brooklock.credentials.TlsContexts;
import brooklock.http.Fields;
import brooklock.http.RequestHead;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import javax.net.ssl.SSLContext;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Connections that are long on their way, as with TLS at a host that has much to do. */
class HttpConnectionPoolTest {
    private static final int MAX_CONNECTING = 2;
    private static final long LONG_TIMEOUT_NS = 20_000_000_000L;

    @TempDir private Path dir;
    private IoThreads net;
    private SSLContext server;
    private SSLContext client;

    @BeforeEach
    void start() throws Exception {
        net = IoThreads.start("pool", 1);
        LocalCertificateAuthority pki = new LocalCertificateAuthority("authority");
        CertificateTrust trust = pki.createTrust(dir);
        TlsContexts.TlsIdentity shown = pki.issue("host", "localhost", 3600_000);
        server =
                TlsContexts.serverContext(
                        () -> List.of(shown), () -> trust, System::currentTimeMillis);
        client = TlsContexts.clientContext(null, () -> trust, System::currentTimeMillis);
    }

    @AfterEach
    void stop() {
        net.close();
    }

    /** A host before which so many connections come through and all others stay silent. */
    private static final class ThrottledProxy implements AutoCloseable {
        final ServerSocket in = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
        final AtomicInteger accepted = new AtomicInteger();

        ThrottledProxy(InetSocketAddress behind, int lets) throws IOException {
            Thread t =
                    new Thread(
                            () -> {
                                try {
                                    while (true) {
                                        Socket s = in.accept();
                                        if (accepted.incrementAndGet() <= lets) {
                                            Socket on =
                                                    new Socket(
                                                            behind.getAddress(), behind.getPort());
                                            pipe(s, on);
                                            pipe(on, s);
                                        }
                                    }
                                } catch (IOException closed) {
                                    // The test is over.
                                }
                            },
                            "narrow");
            t.setDaemon(true);
            t.start();
        }

        private static void pipe(Socket from, Socket to) {
            Thread t =
                    new Thread(
                            () -> {
                                try (InputStream in = from.getInputStream();
                                        OutputStream out = to.getOutputStream()) {
                                    in.transferTo(out);
                                } catch (IOException closed) {
                                    // The test is over.
                                }
                            },
                            "pipe");
            t.setDaemon(true);
            t.start();
        }

        InetSocketAddress address() {
            return new InetSocketAddress(in.getInetAddress(), in.getLocalPort());
        }

        @Override
        public void close() throws IOException {
            in.close();
        }
    }

    /** One call; how it ended. */
    private static final class RecordingHandler implements ResponseHandler {
        final CompletableFuture<String> outcome = new CompletableFuture<>();
        volatile boolean sent;

        @Override
        public boolean shouldSend() {
            sent = true;
            return true;
        }

        @Override
        public void onComplete(Fields trailers) {
            assertTrue(outcome.complete("whole"));
        }

        @Override
        public void onFailure(CallFailure failure, String why) {
            assertTrue(outcome.complete(failure + " " + why));
        }

        String awaitOutcome() throws Exception {
            return outcome.get(20, TimeUnit.SECONDS);
        }
    }

    private RecordingHandler call(HttpClient c, InetSocketAddress to) {
        RecordingHandler t = new RecordingHandler();
        net.loop(0)
                .execute(
                        () ->
                                c.send(
                                        to,
                                        new RequestHead("GET", "/", "localhost", 1, new Fields()),
                                        new byte[0],
                                        t));
        return t;
    }

    @Test
    void aBurstAtASilentHostOpensFewConnectionsAndEachCallFailsOnceUnsent() throws Exception {
        try (ThrottledProxy silent = new ThrottledProxy(null, 0)) {
            HttpClient c =
                    new HttpClient(
                            net.loop(0),
                            ClientLimits.STANDARD
                                    .withMaxConnecting(MAX_CONNECTING)
                                    .withConnectTimeoutNs(300_000_000L),
                            client);
            List<RecordingHandler> all =
                    java.util.stream.IntStream.range(0, 50)
                            .mapToObj(i -> call(c, silent.address()))
                            .toList();
            for (RecordingHandler t : all) {
                assertTrue(t.awaitOutcome().startsWith("NOT_CONNECTED"), t.awaitOutcome());
                assertFalse(t.sent, "nothing is sent before the handshake is over");
            }
            // Those that fail make room for as many again, not for each call.
            assertTrue(silent.accepted.get() <= 4 * MAX_CONNECTING, "opened " + silent.accepted);
        }
    }

    @Test
    void aCallTakesAConnectionThatBecomesFreeWhileAnotherIsStillOnItsWay() throws Exception {
        BlockingQueue<HttpExchange> asked = new LinkedBlockingQueue<>();
        HttpListener host =
                HttpListener.openTls(
                        net,
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                        ServerLimits.STANDARD,
                        asked::add,
                        server);
        try (ThrottledProxy narrow = new ThrottledProxy(host.address(), 1)) {
            HttpClient c =
                    new HttpClient(
                            net.loop(0),
                            ClientLimits.STANDARD
                                    .withMaxConnecting(MAX_CONNECTING)
                                    .withConnectTimeoutNs(LONG_TIMEOUT_NS),
                            client);
            RecordingHandler first = call(c, narrow.address());
            HttpExchange x = asked.poll(20, TimeUnit.SECONDS);
            RecordingHandler second = call(c, narrow.address());
            RecordingHandler third = call(c, narrow.address());
            while (narrow.accepted.get() < 3) {
                Thread.sleep(1);
            }
            assertFalse(second.sent || third.sent, "their connections are on their way");
            net.loop(0).execute(() -> x.send(200, new Fields(), new byte[0]));
            assertEquals("whole", first.awaitOutcome());
            for (RecordingHandler t : List.of(second, third)) {
                HttpExchange y = asked.poll(20, TimeUnit.SECONDS);
                net.loop(0).execute(() -> y.send(200, new Fields(), new byte[0]));
                assertEquals("whole", t.awaitOutcome());
            }
            assertEquals(3, narrow.accepted.get(), "no more were opened");
        } finally {
            host.close();
        }
    }

    @Test
    void whereNobodyListensEachCallIsToldAtOnce() throws Exception {
        InetSocketAddress nobody;
        try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            nobody = new InetSocketAddress(s.getInetAddress(), s.getLocalPort());
        }
        HttpClient c =
                new HttpClient(
                        net.loop(0),
                        ClientLimits.STANDARD
                                .withMaxConnecting(MAX_CONNECTING)
                                .withConnectTimeoutNs(LONG_TIMEOUT_NS));
        long from = System.nanoTime();
        List<RecordingHandler> all =
                java.util.stream.IntStream.range(0, 50).mapToObj(i -> call(c, nobody)).toList();
        for (RecordingHandler t : all) {
            assertTrue(t.awaitOutcome().startsWith("NOT_CONNECTED"), t.awaitOutcome());
        }
        assertTrue(
                System.nanoTime() - from < LONG_TIMEOUT_NS / 2,
                "none of them waited for its time in line to end");
    }

    @Test
    void noAnswerIsLostToAHandshakeThatEndsWhileItIsRead() throws Exception {
        HttpListener host =
                HttpListener.openTls(
                        net,
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                        ServerLimits.STANDARD,
                        x -> x.send(200, new Fields(), new byte[0]),
                        server);
        HttpClient c =
                new HttpClient(
                        net.loop(0),
                        ClientLimits.STANDARD
                                .withMaxConnecting(8)
                                .withConnectTimeoutNs(LONG_TIMEOUT_NS),
                        client);
        for (int round = 0; round < 40; round++) {
            List<RecordingHandler> all =
                    java.util.stream.IntStream.range(0, 8)
                            .mapToObj(
                                    i -> {
                                        RecordingHandler t = new RecordingHandler();
                                        net.loop(0)
                                                .execute(
                                                        () ->
                                                                c.send(
                                                                        host.address(),
                                                                        new RequestHead(
                                                                                "GET",
                                                                                "/",
                                                                                "localhost",
                                                                                1,
                                                                                new Fields()
                                                                                        .add(
                                                                                                "Connection",
                                                                                                "close")),
                                                                        new byte[0],
                                                                        t));
                                        return t;
                                    })
                            .toList();
            for (RecordingHandler t : all) {
                assertEquals("whole", t.awaitOutcome());
            }
        }
        host.close();
    }
}
