package brooklock.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brooklock.credentials.ClientTrust;
import brooklock.credentials.LocalAuthority;
import brooklock.credentials.Tls;
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
class HostPoolTest {
    private static final int OPENINGS = 2;
    private static final long LONG_NS = 20_000_000_000L;

    @TempDir private Path dir;
    private Net net;
    private SSLContext server;
    private SSLContext client;

    @BeforeEach
    void start() throws Exception {
        net = Net.open("pool", 1);
        LocalAuthority pki = new LocalAuthority("authority");
        ClientTrust trust = pki.trust(dir);
        Tls.Shown shown = pki.issue("host", "localhost", 3600_000);
        server = Tls.server(() -> List.of(shown), () -> trust, System::currentTimeMillis);
        client = Tls.client(null, () -> trust, System::currentTimeMillis);
    }

    @AfterEach
    void stop() {
        net.close();
    }

    /** A host before which so many connections come through and all others stay silent. */
    private static final class Narrow implements AutoCloseable {
        final ServerSocket in = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
        final AtomicInteger accepted = new AtomicInteger();

        Narrow(InetSocketAddress behind, int lets) throws IOException {
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
    private static final class Taker implements AnswerTaker {
        final CompletableFuture<String> end = new CompletableFuture<>();
        volatile boolean went;

        @Override
        public boolean mayGo() {
            went = true;
            return true;
        }

        @Override
        public void end(Fields trailers) {
            assertTrue(end.complete("whole"));
        }

        @Override
        public void failed(Failure failure, String why) {
            assertTrue(end.complete(failure + " " + why));
        }

        String ended() throws Exception {
            return end.get(20, TimeUnit.SECONDS);
        }
    }

    private Taker call(Client c, InetSocketAddress to) {
        Taker t = new Taker();
        net.loop(0)
                .execute(
                        () ->
                                c.call(
                                        to,
                                        new RequestHead("GET", "/", "localhost", 1, new Fields()),
                                        new byte[0],
                                        t));
        return t;
    }

    @Test
    void aBurstAtASilentHostOpensFewConnectionsAndEachCallFailsOnceUnsent() throws Exception {
        try (Narrow silent = new Narrow(null, 0)) {
            Client c =
                    new Client(
                            net.loop(0),
                            ClientLimits.STANDARD
                                    .withOpenings(OPENINGS)
                                    .withConnectNs(300_000_000L),
                            client);
            List<Taker> all =
                    java.util.stream.IntStream.range(0, 50)
                            .mapToObj(i -> call(c, silent.address()))
                            .toList();
            for (Taker t : all) {
                assertTrue(t.ended().startsWith("NOT_CONNECTED"), t.ended());
                assertFalse(t.went, "nothing is sent before the handshake is over");
            }
            // Those that fail make room for as many again, not for each call.
            assertTrue(silent.accepted.get() <= 4 * OPENINGS, "opened " + silent.accepted);
        }
    }

    @Test
    void aCallTakesAConnectionThatBecomesFreeWhileAnotherIsStillOnItsWay() throws Exception {
        BlockingQueue<ServerExchange> asked = new LinkedBlockingQueue<>();
        Listener host =
                Listener.openTls(
                        net,
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                        ServerLimits.STANDARD,
                        asked::add,
                        server);
        try (Narrow narrow = new Narrow(host.address(), 1)) {
            Client c =
                    new Client(
                            net.loop(0),
                            ClientLimits.STANDARD.withOpenings(OPENINGS).withConnectNs(LONG_NS),
                            client);
            Taker first = call(c, narrow.address());
            ServerExchange x = asked.poll(20, TimeUnit.SECONDS);
            Taker second = call(c, narrow.address());
            Taker third = call(c, narrow.address());
            while (narrow.accepted.get() < 3) {
                Thread.sleep(1);
            }
            assertFalse(second.went || third.went, "their connections are on their way");
            net.loop(0).execute(() -> x.send(200, new Fields(), new byte[0]));
            assertEquals("whole", first.ended());
            for (Taker t : List.of(second, third)) {
                ServerExchange y = asked.poll(20, TimeUnit.SECONDS);
                net.loop(0).execute(() -> y.send(200, new Fields(), new byte[0]));
                assertEquals("whole", t.ended());
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
        Client c =
                new Client(
                        net.loop(0),
                        ClientLimits.STANDARD.withOpenings(OPENINGS).withConnectNs(LONG_NS));
        long from = System.nanoTime();
        List<Taker> all =
                java.util.stream.IntStream.range(0, 50).mapToObj(i -> call(c, nobody)).toList();
        for (Taker t : all) {
            assertTrue(t.ended().startsWith("NOT_CONNECTED"), t.ended());
        }
        assertTrue(
                System.nanoTime() - from < LONG_NS / 2,
                "none of them waited for its time in line to end");
    }

    @Test
    void noAnswerIsLostToAHandshakeThatEndsWhileItIsRead() throws Exception {
        Listener host =
                Listener.openTls(
                        net,
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                        ServerLimits.STANDARD,
                        x -> x.send(200, new Fields(), new byte[0]),
                        server);
        Client c =
                new Client(
                        net.loop(0),
                        ClientLimits.STANDARD.withOpenings(8).withConnectNs(LONG_NS),
                        client);
        for (int round = 0; round < 40; round++) {
            List<Taker> all =
                    java.util.stream.IntStream.range(0, 8)
                            .mapToObj(
                                    i -> {
                                        Taker t = new Taker();
                                        net.loop(0)
                                                .execute(
                                                        () ->
                                                                c.call(
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
            for (Taker t : all) {
                assertEquals("whole", t.ended());
            }
        }
        host.close();
    }
}
