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
import java.util.concurrent.CountDownLatch;
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

/**
 * Tests how calls wait for connections that take long to establish, as with TLS to a busy endpoint.
 */
class HttpConnectionPoolTest {
    private static final int MAX_CONNECTING = 2;
    private static final long LONG_TIMEOUT_NS = 20_000_000_000L;

    @TempDir private Path dir;
    private IoThreads ioThreads;
    private SSLContext serverTls;
    private SSLContext clientTls;

    @BeforeEach
    void start() throws Exception {
        ioThreads = IoThreads.start("pool", 1);
        LocalCertificateAuthority authority = new LocalCertificateAuthority("authority");
        CertificateTrust trust = authority.createTrust(dir);
        TlsContexts.TlsIdentity identity = authority.issue("host", "localhost", 3600_000);
        serverTls =
                TlsContexts.serverContext(
                        () -> List.of(identity), () -> trust, System::currentTimeMillis);
        clientTls = TlsContexts.clientContext(null, () -> trust, System::currentTimeMillis);
    }

    @AfterEach
    void stop() {
        ioThreads.close();
    }

    /**
     * A proxy that forwards the first connections and accepts the others without ever answering.
     */
    private static final class ThrottledProxy implements AutoCloseable {
        final ServerSocket serverSocket =
                new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
        final AtomicInteger accepted = new AtomicInteger();

        ThrottledProxy(InetSocketAddress target, int forwardedConnections) throws IOException {
            this(target, forwardedConnections, new CountDownLatch(0));
        }

        /** Creates a proxy that forwards nothing until the latch is open. */
        ThrottledProxy(
                InetSocketAddress target, int forwardedConnections, CountDownLatch mayForward)
                throws IOException {
            start("narrow", () -> accept(target, forwardedConnections, mayForward));
        }

        private void accept(
                InetSocketAddress target, int forwardedConnections, CountDownLatch mayForward) {
            try {
                while (true) {
                    Socket from = serverSocket.accept();
                    if (accepted.incrementAndGet() <= forwardedConnections) {
                        mayForward.await();
                        Socket to = new Socket(target.getAddress(), target.getPort());
                        start("pipe", () -> pipe(from, to));
                        start("pipe", () -> pipe(to, from));
                    }
                }
            } catch (IOException | InterruptedException closed) {
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
            return new InetSocketAddress(
                    serverSocket.getInetAddress(), serverSocket.getLocalPort());
        }

        @Override
        public void close() throws IOException {
            serverSocket.close();
        }
    }

    /** Records the outcome of one call. */
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

    private HttpClient newHttpClient(ClientLimits limits, SSLContext tlsContext) {
        return new HttpClient(ioThreads.loop(0), limits, tlsContext);
    }

    private RecordingHandler startCall(
            HttpClient httpClient, InetSocketAddress address, Fields fields) {
        RecordingHandler handler = new RecordingHandler();
        RequestHead head = new RequestHead("GET", "/", "localhost", 1, fields);
        ioThreads.loop(0).execute(() -> httpClient.send(address, head, new byte[0], handler));
        return handler;
    }

    private List<RecordingHandler> startCalls(
            int count, HttpClient httpClient, InetSocketAddress address, Supplier<Fields> fields) {
        return IntStream.range(0, count)
                .mapToObj(i -> startCall(httpClient, address, fields.get()))
                .toList();
    }

    /**
     * An endpoint that hangs accepts connections but never answers. Fifty simultaneous calls must
     * not open fifty connections, and each must fail within its timeout without having been sent.
     */
    @Test
    void aBurstAtASilentEndpointOpensFewConnections() throws Exception {
        try (ThrottledProxy silent = new ThrottledProxy(null, 0)) {
            HttpClient httpClient = newHttpClient(limits(MAX_CONNECTING, 300_000_000L), clientTls);
            for (RecordingHandler call :
                    startCalls(50, httpClient, silent.address(), Fields::new)) {
                assertTrue(call.awaitOutcome().startsWith("NOT_CONNECTED"), call.awaitOutcome());
                assertFalse(call.sent, "no request is sent before the handshake has completed");
            }
            // Each failed connect permits another one, but there is not one connect per call.
            assertTrue(silent.accepted.get() <= 4 * MAX_CONNECTING, "opened " + silent.accepted);
        }
    }

    /**
     * One connection is busy, and two more never complete their handshakes. Once the first becomes
     * free it must serve the waiting calls one after another, without further connections.
     */
    @Test
    void waitingCallsUseAConnectionThatBecomesFree() throws Exception {
        BlockingQueue<HttpExchange> exchanges = new LinkedBlockingQueue<>();
        HttpListener endpoint = listen(exchanges::add);
        try (ThrottledProxy proxy = new ThrottledProxy(endpoint.address(), 1)) {
            HttpClient httpClient =
                    newHttpClient(limits(MAX_CONNECTING, LONG_TIMEOUT_NS), clientTls);
            RecordingHandler first = startCall(httpClient, proxy.address(), new Fields());
            HttpExchange firstExchange = exchanges.poll(20, TimeUnit.SECONDS);
            RecordingHandler second = startCall(httpClient, proxy.address(), new Fields());
            RecordingHandler third = startCall(httpClient, proxy.address(), new Fields());
            while (proxy.accepted.get() < 3) {
                Thread.sleep(1);
            }
            assertFalse(
                    second.sent || third.sent,
                    "no request is sent on a connection that is not established");
            respond(firstExchange);
            assertEquals("whole", first.awaitOutcome());
            for (RecordingHandler call : List.of(second, third)) {
                respond(exchanges.poll(20, TimeUnit.SECONDS));
                assertEquals("whole", call.awaitOutcome());
            }
            assertEquals(3, proxy.accepted.get(), "no further connection is opened");
        } finally {
            endpoint.close();
        }
    }

    private void respond(HttpExchange exchange) {
        ioThreads.loop(0).execute(() -> exchange.send(200, new Fields(), new byte[0]));
    }

    /**
     * Guards against an endpoint that is never reached because its connections take longer than the
     * connect timeout: each was given up and begun again. Here the first connection goes on only
     * after its call has failed, and no other connection ever does.
     */
    @Test
    void aConnectionThatIsEstablishedLateServesTheNextCall() throws Exception {
        HttpListener endpoint = listen(exchange -> exchange.send(200, new Fields(), new byte[0]));
        CountDownLatch firstCallFailed = new CountDownLatch(1);
        try (ThrottledProxy proxy = new ThrottledProxy(endpoint.address(), 1, firstCallFailed)) {
            HttpClient httpClient = newHttpClient(limits(1, 2_000_000_000L), clientTls);
            RecordingHandler first = startCall(httpClient, proxy.address(), new Fields());
            assertTrue(first.awaitOutcome().startsWith("NOT_CONNECTED"), first.awaitOutcome());
            firstCallFailed.countDown();
            RecordingHandler second = startCall(httpClient, proxy.address(), new Fields());
            assertEquals("whole", second.awaitOutcome());
            assertEquals(1, proxy.accepted.get(), "no further connection is opened");
        } finally {
            endpoint.close();
        }
    }

    /** If nothing listens at the address, each call must fail at once and not after its timeout. */
    @Test
    void callsFailAtOnceWhereNothingListens() throws Exception {
        InetSocketAddress unused;
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            unused = new InetSocketAddress(socket.getInetAddress(), socket.getLocalPort());
        }
        HttpClient httpClient = newHttpClient(limits(MAX_CONNECTING, LONG_TIMEOUT_NS), null);
        long startNs = System.nanoTime();
        for (RecordingHandler call : startCalls(50, httpClient, unused, Fields::new)) {
            assertTrue(call.awaitOutcome().startsWith("NOT_CONNECTED"), call.awaitOutcome());
        }
        assertTrue(
                System.nanoTime() - startNs < LONG_TIMEOUT_NS / 2,
                "no call waited for its timeout");
    }

    /**
     * A handshake may complete within a read that also returns data. None of 320 new connections
     * may lose its response when that happens.
     */
    @Test
    void noResponseIsLostToAHandshakeThatEndsWithinARead() throws Exception {
        HttpListener endpoint = listen(exchange -> exchange.send(200, new Fields(), new byte[0]));
        HttpClient httpClient = newHttpClient(limits(8, LONG_TIMEOUT_NS), clientTls);
        for (int round = 0; round < 40; round++) {
            List<RecordingHandler> calls =
                    startCalls(
                            8,
                            httpClient,
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
                ioThreads,
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                ServerLimits.STANDARD,
                handler,
                serverTls);
    }
}
