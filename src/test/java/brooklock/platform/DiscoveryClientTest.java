package brooklock.platform;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.extension.RegisterExtension;

/**
 * Tests a discovery service that closes connections, repeats or skips events, stops sending or
 * changes its address.
 */
@Timeout(120)
class DiscoveryClientTest {
    private static final byte[] BODY = LoopbackDispatcher.BODY;

    @RegisterExtension private final LoopbackDispatcher loopback = new LoopbackDispatcher();

    private static String readLine(Socket socket) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int b = socket.getInputStream().read();
                b != '\n' && b >= 0;
                b = socket.getInputStream().read()) {
            line.append((char) b);
        }
        return line.toString();
    }

    private static void writeLine(Socket socket, Object line) throws IOException {
        socket.getOutputStream().write((line + "\n").getBytes(StandardCharsets.UTF_8));
    }

    /**
     * The connection is closed in the middle of event 3. On the next connection the service repeats
     * event 2, sends event 3, and then skips event 4. The dispatcher must resume after the last
     * complete event, process each event once, and reconnect when it detects the gap.
     */
    @Test
    void eventsResumeAfterTheLastCompleteEvent() throws Exception {
        loopback.start(FakeEndpoint.serving(BODY));
        try (Socket first = loopback.acceptDiscoveryClient()) {
            assertEquals("resume 1", readLine(first));
            writeLine(
                    first,
                    "{\"cursor\":2,\"drop\":{\"family\":1,\"when\":"
                            + System.currentTimeMillis()
                            + "}}");
            first.getOutputStream()
                    .write("{\"cursor\":3,\"drop\":{\"fam".getBytes(StandardCharsets.UTF_8));
        }
        try (Socket second = loopback.acceptDiscoveryClient()) {
            assertEquals("resume 2", readLine(second));
            writeLine(second, "{\"cursor\":2,\"drop\":{\"family\":1,\"when\":1}}");
            writeLine(second, 2);
            writeLine(second, cacheListUpdate(3, loopback.cache(0), "left"));
            writeLine(second, "{\"cursor\":5,\"drop\":{\"family\":1,\"when\":1}}");
            try (Socket third = loopback.acceptDiscoveryClient()) {
                assertEquals("resume 3", readLine(third));
                // The only cache has left the list, so the request must go to the origin.
                assertArrayEquals(BODY, loopback.client().request(1, 0x24, 0x90, 2000).body());
                assertTrue(loopback.cache(0).received.isEmpty());
                assertEquals(1, loopback.origin().received.size());
            }
        }
    }

    /**
     * A cache leaves the list and returns under the same name with another address. Requests must
     * go to the new address and not use connections to the old one.
     */
    @Test
    void anEndpointThatReturnsAtAnotherAddressIsReached() throws Exception {
        loopback.start(FakeEndpoint.serving(BODY));
        assertArrayEquals(BODY, loopback.client().request(1, 0x30, 0x94, 2000).body());
        FakeEndpoint moved = loopback.newEndpoint(FakeEndpoint.serving(BODY));
        try (Socket discovery = loopback.acceptDiscoveryClient()) {
            readLine(discovery);
            writeLine(discovery, cacheListUpdate(2, loopback.cache(0), "left"));
            writeLine(discovery, cacheListUpdate(3, moved, "active"));
            int i = 2;
            while (moved.received.isEmpty()) {
                assertArrayEquals(BODY, loopback.client().request(i, 0x30 + i, 0x94, 2000).body());
                i++;
            }
            int before = moved.received.size();
            assertArrayEquals(BODY, loopback.client().request(i, 0x30 + i, 0x94, 2000).body());
            assertEquals(before + 1, moved.received.size());
        }
    }

    /**
     * The service accepts a connection and then sends nothing, not even heartbeats. The dispatcher
     * must consider the connection lost and open another.
     */
    @Test
    void aSilentConnectionIsReplaced() throws Exception {
        loopback.start(FakeEndpoint.serving(BODY));
        try (Socket first = loopback.acceptDiscoveryClient()) {
            assertEquals("resume 1", readLine(first));
            try (Socket second = loopback.acceptDiscoveryClient()) {
                assertEquals("resume 1", readLine(second));
            }
        }
    }

    /**
     * Guards against a slow discovery service that is never heard, so that purges and drains are
     * missed: the client closed each connection after 1.6 s without a line and began to wait again.
     * Here the service answers the first connection only once the client has opened a second.
     */
    @Test
    void aServiceThatAnswersLateIsHeard() throws Exception {
        loopback.start(FakeEndpoint.serving(BODY));
        try (Socket first = loopback.acceptDiscoveryClient()) {
            assertEquals("resume 1", readLine(first));
            try (Socket second = loopback.acceptDiscoveryClient()) {
                assertEquals("resume 1", readLine(second));
                writeLine(first, cacheListUpdate(2, loopback.cache(0), "left"));
                assertEquals(-1, second.getInputStream().read(), "the other connection is closed");
                requestUntilServedByOrigin();
            }
        }
    }

    /**
     * Guards against a slow discovery service that is never heard because an older connection is
     * dead: of the connections after it, one must stay open until it is answered, while a further
     * one is replaced again and again.
     */
    @Test
    void aServiceThatAnswersLateIsHeardBesideADeadConnection() throws Exception {
        loopback.start(FakeEndpoint.serving(BODY));
        try (Socket dead = loopback.acceptDiscoveryClient();
                Socket late = loopback.acceptDiscoveryClient();
                Socket replaced = loopback.acceptDiscoveryClient();
                Socket newest = loopback.acceptDiscoveryClient()) {
            assertEquals("resume 1", readLine(replaced));
            assertEquals(-1, replaced.getInputStream().read(), "three connections at most");
            assertEquals("resume 1", readLine(late));
            assertEquals("resume 1", readLine(newest));
            writeLine(late, cacheListUpdate(2, loopback.cache(0), "left"));
            requestUntilServedByOrigin();
            assertEquals(-1, newest.getInputStream().read(), "the other connections are closed");
            assertEquals("resume 1", readLine(dead));
            assertEquals(-1, dead.getInputStream().read(), "the other connections are closed");
        }
    }

    /**
     * Guards against a long event that is never heard: its line takes longer than a connection may
     * be silent. The client must go on reading it while it opens another connection.
     */
    @Test
    void aLineThatTakesLongIsReadToItsEnd() throws Exception {
        loopback.start(FakeEndpoint.serving(BODY));
        byte[] line =
                (cacheListUpdate(2, loopback.cache(0), "left") + "\n")
                        .getBytes(StandardCharsets.UTF_8);
        try (Socket first = loopback.acceptDiscoveryClient()) {
            assertEquals("resume 1", readLine(first));
            first.getOutputStream().write(line, 0, 20);
            try (Socket second = loopback.acceptDiscoveryClient()) {
                assertEquals("resume 1", readLine(second));
                first.getOutputStream().write(line, 20, line.length - 20);
                requestUntilServedByOrigin();
            }
        }
    }

    // The only cache has left the list once the origin serves; the test's time-out is the limit.
    private void requestUntilServedByOrigin() throws Exception {
        // The dispatcher closes a client that says nothing for a while, so a new one is used.
        RpcTestClient client = loopback.newClient();
        for (int i = 1; loopback.origin().received.isEmpty(); i++) {
            assertArrayEquals(BODY, client.request(i, 0x60 + i, 0x95, 2000).body());
            TimeUnit.MILLISECONDS.sleep(2);
        }
    }

    /**
     * The configuration is reloaded while it is being written, so that the first read finds only
     * part of it. The dispatcher must read it again and connect to the new address of the discovery
     * service.
     */
    @Test
    void aReloadOfAPartiallyWrittenFileIsRetried() throws Exception {
        loopback.start(FakeEndpoint.serving(BODY));
        try (Socket first = loopback.acceptDiscoveryClient();
                ServerSocket next = new ServerSocket(0, 9, InetAddress.getLoopbackAddress())) {
            assertEquals("resume 1", readLine(first));
            loopback.writeConfig("{\"chan");
            loopback.dispatcher().reload();
            loopback.writeConfig(TestConfigs.config("127.0.0.1:" + next.getLocalPort(), List.of()));
            try (Socket second = next.accept()) {
                assertEquals("resume 1", readLine(second));
            }
        }
    }

    private static Object cacheListUpdate(long sequence, FakeEndpoint cache, String status) {
        return TestConfigs.listUpdate(
                sequence,
                false,
                List.of(TestConfigs.endpoint("s-1", cache.address(), "box", status)));
    }
}
