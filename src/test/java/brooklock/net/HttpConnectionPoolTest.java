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
import java.util.function.Supplier;
import java.util.stream.IntStream;
import javax.net.ssl.SSLContext;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Connections that take long to establish, as with TLS at an endpoint that is busy. */
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

    /** A proxy that forwards so many connections and lets all others hang. */
    private static final class ThrottledProxy implements AutoCloseable {
        final ServerSocket in = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
        final AtomicInteger accepted = new AtomicInteger();

        ThrottledProxy(InetSocketAddress behind, int forwardedConnections) throws IOException {
            start("narrow", () -> accept(behind, forwardedConnections));
        }

        private void accept(InetSocketAddress behind, int forwardedConnections) {
            try {
                while (true) {
                    Socket from = in.accept();
                    if (accepted.incrementAndGet() <= forwardedConnections) {
                        Socket to = new Socket(behind.getAddress(), behind.getPort());
                        start("pipe", () -> pipe(from, to));
                        start("pipe", () -> pipe(to, from));
                    }
                }
            } catch (IOException closed) {
                // The test is over.
            }
        }

        private static void pipe(Socket from, Socket to) {
            try (InputStream in = from.getInputStream();
                    OutputStream out = to.getOutputStream()) {
                in.transferTo(out);
            } catch (IOException closed) {
                // The test is over.
            }
        }

        private static void start(String name, Runnable task) {
            Thread thread = new Thread(task, name);
            thread.setDaemon(true);
            thread.start();
        }

        InetSocketAddress address() {
            return new InetSocketAddress(in.getInetAddress(), in.getLocalPort());
        }

        @Override
        public void close() throws IOException {
            in.close();
        }
    }

    /** Records how one call ended. */
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
        public void onFailure(CallFailure failure, String reason) {
            assertTrue(outcome.complete(failure + " " + reason));
        }

        String awaitOutcome() throws Exception {
            return outcome.get(20, TimeUnit.SECONDS);
        }
    }

    private HttpClient client(ClientLimits limits, SSLContext tlsContext) {
        return new HttpClient(net.loop(0), limits, tlsContext);
    }

    private RecordingHandler call(HttpClient from, InetSocketAddress to, Fields fields) {
        RecordingHandler handler = new RecordingHandler();
        RequestHead head = new RequestHead("GET", "/", "localhost", 1, fields);
        net.loop(0).execute(() -> from.send(to, head, new byte[0], handler));
        return handler;
    }

    private List<RecordingHandler> calls(
            int count, HttpClient from, InetSocketAddress to, Supplier<Fields> fields) {
        return IntStream.range(0, count).mapToObj(i -> call(from, to, fields.get())).toList();
    }

    /**
     * An endpoint accepts connections and stays silent, as one that has hung. Fifty calls at once
     * do not open fifty connections, and each fails in time, with proof that it was not sent.
     */
    @Test
    void aBurstAtASilentEndpointOpensFewConnections() throws Exception {
        try (ThrottledProxy silent = new ThrottledProxy(null, 0)) {
            HttpClient from = client(limits(MAX_CONNECTING, 300_000_000L), client);
            for (RecordingHandler call : calls(50, from, silent.address(), Fields::new)) {
                assertTrue(call.awaitOutcome().startsWith("NOT_CONNECTED"), call.awaitOutcome());
                assertFalse(call.sent, "nothing is sent before the handshake is over");
            }
            // Those that fail make room for as many again, not for each call.
            assertTrue(silent.accepted.get() <= 4 * MAX_CONNECTING, "opened " + silent.accepted);
        }
    }

    /**
     * One connection is busy, and the next two are stuck in their handshakes. Once the first
     * becomes free it serves the waiting calls one after another, and no further connection is
     * opened.
     */
    @Test
    void waitingCallsUseAConnectionThatBecomesFree() throws Exception {
        BlockingQueue<HttpExchange> exchanges = new LinkedBlockingQueue<>();
        HttpListener endpoint = listen(exchanges::add);
        try (ThrottledProxy narrow = new ThrottledProxy(endpoint.address(), 1)) {
            HttpClient from = client(limits(MAX_CONNECTING, LONG_TIMEOUT_NS), client);
            RecordingHandler first = call(from, narrow.address(), new Fields());
            HttpExchange firstExchange = exchanges.poll(20, TimeUnit.SECONDS);
            RecordingHandler second = call(from, narrow.address(), new Fields());
            RecordingHandler third = call(from, narrow.address(), new Fields());
            while (narrow.accepted.get() < 3) {
                Thread.sleep(1);
            }
            assertFalse(second.sent || third.sent, "their connections are not established");
            respond(firstExchange);
            assertEquals("whole", first.awaitOutcome());
            for (RecordingHandler call : List.of(second, third)) {
                respond(exchanges.poll(20, TimeUnit.SECONDS));
                assertEquals("whole", call.awaitOutcome());
            }
            assertEquals(3, narrow.accepted.get(), "no more were opened");
        } finally {
            endpoint.close();
        }
    }

    private void respond(HttpExchange exchange) {
        net.loop(0).execute(() -> exchange.send(200, new Fields(), new byte[0]));
    }

    /** Nothing listens at the address: each call fails at once, and not when its wait is over. */
    @Test
    void callsFailAtOnceWhereNothingListens() throws Exception {
        InetSocketAddress unused;
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            unused = new InetSocketAddress(socket.getInetAddress(), socket.getLocalPort());
        }
        HttpClient from = client(limits(MAX_CONNECTING, LONG_TIMEOUT_NS), null);
        long startNs = System.nanoTime();
        for (RecordingHandler call : calls(50, from, unused, Fields::new)) {
            assertTrue(call.awaitOutcome().startsWith("NOT_CONNECTED"), call.awaitOutcome());
        }
        assertTrue(
                System.nanoTime() - startNs < LONG_TIMEOUT_NS / 2,
                "none of them waited for its time to end");
    }

    /**
     * A handshake may complete within a read that returns data too. Three hundred and twenty new
     * connections lose no response to that.
     */
    @Test
    void noResponseIsLostToAHandshakeThatEndsWithinARead() throws Exception {
        HttpListener endpoint = listen(exchange -> exchange.send(200, new Fields(), new byte[0]));
        HttpClient from = client(limits(8, LONG_TIMEOUT_NS), client);
        for (int round = 0; round < 40; round++) {
            List<RecordingHandler> calls =
                    calls(
                            8,
                            from,
                            endpoint.address(),
                            () -> new Fields().add("Connection", "close"));
            for (RecordingHandler call : calls) {
                assertEquals("whole", call.awaitOutcome());
            }
        }
        endpoint.close();
    }

    private static ClientLimits limits(int maxConnecting, long connectTimeoutNs) {
        return ClientLimits.STANDARD
                .withMaxConnecting(maxConnecting)
                .withConnectTimeoutNs(connectTimeoutNs);
    }

    private HttpListener listen(RequestHandler handler) throws IOException {
        return HttpListener.openTls(
                net,
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                ServerLimits.STANDARD,
                handler,
                server);
    }
}
