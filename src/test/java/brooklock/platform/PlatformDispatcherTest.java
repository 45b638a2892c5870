package brooklock.platform;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brooklock.platform.RpcTestClient.Response;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** A whole dispatcher on loopback sockets, its peers played by the test. */
@Timeout(120)
class PlatformDispatcherTest {
    private static final byte[] BODY = "the bytes of the part".getBytes(StandardCharsets.US_ASCII);

    @TempDir private Path dir;
    private final List<FakeEndpoint> hosts = new ArrayList<>();
    private ServerSocket channel;
    private PlatformDispatcher node;
    private RpcTestClient caller;

    @BeforeEach
    void begin() throws IOException {
        channel = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
    }

    @AfterEach
    void end() throws IOException {
        if (caller != null) {
            caller.close();
        }
        if (node != null) {
            node.close();
        }
        for (FakeEndpoint h : hosts) {
            h.close();
        }
        channel.close();
    }

    private void start(FakeEndpoint.FrameHandler... ways) throws IOException {
        List<com.google.gson.JsonObject> list = new ArrayList<>();
        for (FakeEndpoint.FrameHandler w : ways) {
            FakeEndpoint h = new FakeEndpoint(w);
            hosts.add(h);
            list.add(TestConfigs.endpoint("s-" + hosts.size(), h.address(), "box", "active"));
        }
        FakeEndpoint origin = new FakeEndpoint(FakeEndpoint.serving(BODY));
        hosts.add(origin);
        list.add(TestConfigs.endpoint("s-o", origin.address(), "origin", "active"));
        node =
                PlatformDispatcher.start(
                        write(TestConfigs.config("127.0.0.1:" + channel.getLocalPort(), list)));
        caller = new RpcTestClient(node.address());
    }

    private Path write(String config) throws IOException {
        return Files.writeString(dir.resolve("config.json"), config);
    }

    private static void until(java.util.function.BooleanSupplier what) throws InterruptedException {
        while (!what.getAsBoolean()) {
            TimeUnit.MILLISECONDS.sleep(2);
        }
    }

    @Test
    void aReadIsServedWithItsBytesAndAsksWhatTheModuleChose() throws Exception {
        start(FakeEndpoint.serving(BODY));
        Response a = caller.request(1, 0x11, 0x7f, 2000);
        assertNull(a.error());
        assertArrayEquals(BODY, a.body());
        FakeEndpoint.ReceivedFrame asked = hosts.get(0).received.get(0);
        assertEquals(0x11, asked.id());
        assertEquals(
                Map.of(
                        "cls",
                        "pages",
                        "item",
                        "000000000000007f",
                        "chunk",
                        "0",
                        "up",
                        "s-o",
                        "store",
                        "1",
                        "do",
                        "share",
                        "limit",
                        asked.fields().get("limit")),
                asked.fields());
        assertTrue(Integer.parseInt(asked.fields().get("limit")) <= 2000);
    }

    @Test
    void aWriteGoesToTheOriginWithItsKeyAndBody() throws Exception {
        start(FakeEndpoint.serving(BODY));
        Map<String, String> f = RpcTestClient.fields(0x12, 0x80, 2000);
        f.put("k", "5c0f6e1a2b3d4c59a8b7c6d5e4f30211");
        caller.send(RpcTestClient.encodeCall(1, TestConfigs.WRITE_CLASS, f, BODY));
        assertNull(caller.response().error());
        FakeEndpoint.ReceivedFrame asked = hosts.get(1).received.get(0);
        assertArrayEquals(BODY, asked.body());
        assertEquals("5c0f6e1a2b3d4c59a8b7c6d5e4f30211", asked.fields().get("nonce"));
        assertTrue(hosts.get(0).received.isEmpty());
    }

    @Test
    void aCopyThatHoldsIsToldWithoutBytes() throws Exception {
        start(
                (a, out, s) ->
                        out.write(
                                FakeEndpoint.frame(
                                        Frame.NOT_MODIFIED,
                                        a.id(),
                                        "rev=0123456789abcdef,tell=hit",
                                        new byte[0])));
        Map<String, String> f = RpcTestClient.fields(0x13, 0x81, 2000);
        f.put("etag", "0123456789abcdef");
        caller.send(RpcTestClient.encodeCall(1, TestConfigs.READ_CLASS, f, new byte[0]));
        Response a = caller.response();
        assertEquals(Map.of("notmod", "1"), a.fields());
        assertEquals(0, a.body().length);
        assertEquals("0123456789abcdef", hosts.get(0).received.get(0).fields().get("inm"));
    }

    @Test
    void aSpoiltAnswerIsNotPassedOnAndTriedElsewhere() throws Exception {
        AtomicInteger spoilt = new AtomicInteger();
        FakeEndpoint.FrameHandler once =
                (a, out, s) -> {
                    byte[] f = FakeEndpoint.frame(Frame.OK, a.id(), "tell=hit", BODY);
                    if (spoilt.getAndIncrement() == 0) {
                        f[f.length - 6] ^= 1;
                    }
                    out.write(f);
                };
        start(once, once);
        assertArrayEquals(BODY, caller.request(1, 0x14, 0x82, 2000).body());
        assertEquals(2, spoilt.get());
    }

    @Test
    void anAnswerWhoseFieldsCantBeUsedEndsItsAttemptAtOnce() throws Exception {
        AtomicInteger asked = new AtomicInteger();
        FakeEndpoint.FrameHandler once =
                (a, out, s) ->
                        out.write(
                                FakeEndpoint.frame(
                                        Frame.OK,
                                        a.id(),
                                        asked.getAndIncrement() == 0
                                                ? "tell=hit,fill=soon"
                                                : "tell=hit",
                                        BODY));
        start(once, once);
        assertArrayEquals(BODY, caller.request(1, 0x31, 0x95, 2000).body());
        assertEquals(2, asked.get());
    }

    @Test
    void answersNobodyWaitsForAreLeft() throws Exception {
        start(
                (a, out, s) -> {
                    out.write(FakeEndpoint.frame(Frame.OK, 999, "tell=hit", new byte[5000]));
                    out.write(FakeEndpoint.frame(Frame.OK, a.id(), "tell=hit", BODY));
                    out.write(FakeEndpoint.frame(Frame.OK, a.id(), "tell=hit", BODY));
                });
        for (int i = 1; i <= 20; i++) {
            assertArrayEquals(BODY, caller.request(i, 0x100 + i, 0x83, 2000).body());
        }
    }

    @Test
    void aHostThatBreaksOffIsReplacedByAnother() throws Exception {
        AtomicInteger asked = new AtomicInteger();
        FakeEndpoint.FrameHandler once =
                (a, out, s) -> {
                    if (asked.getAndIncrement() == 0) {
                        out.write(FakeEndpoint.frame(Frame.OK, a.id(), "tell=hit", BODY), 0, 20);
                        s.close();
                    } else {
                        FakeEndpoint.serving(BODY).handle(a, out, s);
                    }
                };
        start(once, once);
        assertArrayEquals(BODY, caller.request(1, 0x15, 0x84, 2000).body());
    }

    @Test
    void aSilentHostLeavesNoRequestWithoutAnAnswer() throws Exception {
        start((a, out, s) -> {});
        Response a = caller.request(1, 0x16, 0x85, 300);
        assertEquals("Overloaded", a.error());
        assertEquals("2000", a.fields().get("w"));
    }

    @Test
    void hostsThatAreNotThereLeaveNoRequestWithoutAnAnswer() throws Exception {
        start(FakeEndpoint.serving(BODY));
        for (FakeEndpoint h : hosts) {
            h.close();
        }
        assertNotNull(caller.request(1, 0x17, 0x86, 1000).error());
    }

    @Test
    void aRequestThatIsTakenBackGetsNoAnswerAndItsNumberIsFree() throws Exception {
        start(
                (a, out, s) -> {
                    if (a.id() != 0x18) {
                        FakeEndpoint.serving(BODY).handle(a, out, s);
                    }
                });
        caller.send(
                RpcTestClient.encodeCall(
                        1,
                        TestConfigs.READ_CLASS,
                        RpcTestClient.fields(0x18, 0x87, 2000),
                        new byte[0]));
        caller.send(RpcTestClient.encodeCancel(1));
        assertArrayEquals(BODY, caller.request(1, 0x19, 0x87, 2000).body());
    }

    @Test
    void callsTakenBackInTheSameBreathReachNoHost() throws Exception {
        start(FakeEndpoint.serving(BODY));
        byte[] burst = new byte[0];
        for (int i = 1; i <= 60; i++) {
            burst =
                    RpcTestClient.concat(
                            burst,
                            RpcTestClient.encodeCall(
                                    i,
                                    TestConfigs.READ_CLASS,
                                    RpcTestClient.fields(0x400 + i, 0x500 + i, 2000),
                                    new byte[0]),
                            RpcTestClient.encodeCancel(i));
        }
        caller.send(burst);
        assertArrayEquals(BODY, caller.request(100, 0x27, 0x93, 2000).body());
        assertTrue(hosts.get(0).received.size() < 10, "asked " + hosts.get(0).received.size());
    }

    @Test
    void whatIsOutOfOrderIsAnsweredAndHarmsNoOther() throws Exception {
        start(
                (a, out, s) -> {
                    if (a.id() != 0x20) {
                        FakeEndpoint.serving(BODY).handle(a, out, s);
                    }
                });
        caller.send(
                RpcTestClient.encodeCall(
                        1,
                        TestConfigs.READ_CLASS,
                        RpcTestClient.fields(0x20, 0x88, 2000),
                        new byte[0]));
        until(() -> !hosts.get(0).received.isEmpty());
        try (RpcTestClient bad = new RpcTestClient(node.address())) {
            assertEquals("Invalid", bad.request(1, 0x20, 0x99, 2000).error());
            bad.send(
                    RpcTestClient.encodeCall(
                            2, "nothing", RpcTestClient.fields(0x21, 0x99, 2000), new byte[0]));
            assertEquals("Invalid", bad.response().error());
            bad.send(new byte[] {(byte) 0xc1});
            assertNull(bad.response());
        }
        assertArrayEquals(BODY, caller.request(2, 0x22, 0x88, 2000).body());
    }

    @Test
    void callsAboveTheBoundOfAConnectionAreRefused() throws Exception {
        start((a, out, s) -> {});
        for (int i = 1; i <= ClientConnection.MAX_OPEN_CALLS + 1; i++) {
            caller.send(
                    RpcTestClient.encodeCall(
                            i,
                            TestConfigs.READ_CLASS,
                            RpcTestClient.fields(0x200 + i, 0x300 + i, 2400),
                            new byte[0]));
        }
        Response a = caller.response();
        assertEquals("Overloaded", a.error());
        assertEquals(ClientConnection.MAX_OPEN_CALLS + 1, a.messageId());
    }

    @Test
    void aClientThatSaysNothingIsClosed() throws Exception {
        start(FakeEndpoint.serving(BODY));
        assertNull(caller.response());
        try (RpcTestClient half = new RpcTestClient(node.address())) {
            half.send(new byte[] {(byte) 0x94, 0, 1});
            assertNull(half.response());
        }
    }

    @Test
    void silentClientsGiveWayToThoseThatAsk() throws Exception {
        start(FakeEndpoint.serving(BODY));
        List<RpcTestClient> silent = new ArrayList<>();
        for (int i = 0; i < 300; i++) {
            silent.add(new RpcTestClient(node.address()));
        }
        try (RpcTestClient late = new RpcTestClient(node.address())) {
            assertArrayEquals(BODY, late.request(1, 0x23, 0x89, 2000).body());
        }
        for (RpcTestClient c : silent) {
            c.close();
        }
    }

    private String resumed(Socket s) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int b = s.getInputStream().read(); b != '\n'; b = s.getInputStream().read()) {
            line.append((char) b);
        }
        return line.toString();
    }

    private static void tell(Socket s, Object line) throws IOException {
        s.getOutputStream().write((line + "\n").getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void theCommandChannelIsTakenUpWhereItBrokeOff() throws Exception {
        start(FakeEndpoint.serving(BODY));
        try (Socket first = channel.accept()) {
            assertEquals("resume 1", resumed(first));
            tell(
                    first,
                    "{\"cursor\":2,\"drop\":{\"family\":1,\"when\":"
                            + System.currentTimeMillis()
                            + "}}");
            first.getOutputStream()
                    .write("{\"cursor\":3,\"drop\":{\"fam".getBytes(StandardCharsets.UTF_8));
        }
        try (Socket second = channel.accept()) {
            assertEquals("resume 2", resumed(second));
            tell(second, "{\"cursor\":2,\"drop\":{\"family\":1,\"when\":1}}");
            tell(second, 2);
            tell(
                    second,
                    TestConfigs.listUpdate(
                            3,
                            false,
                            List.of(
                                    TestConfigs.endpoint(
                                            "s-1", hosts.get(0).address(), "box", "left"))));
            tell(second, "{\"cursor\":5,\"drop\":{\"family\":1,\"when\":1}}");
            try (Socket third = channel.accept()) {
                assertEquals("resume 3", resumed(third));
                // The only cache has left: the request goes to the origin.
                assertArrayEquals(BODY, caller.request(1, 0x24, 0x90, 2000).body());
                assertTrue(hosts.get(0).received.isEmpty());
                assertEquals(1, hosts.get(1).received.size());
            }
        }
    }

    @Test
    void aHostThatLeftAndIsBackElsewhereIsReached() throws Exception {
        start(FakeEndpoint.serving(BODY));
        assertArrayEquals(BODY, caller.request(1, 0x30, 0x94, 2000).body());
        FakeEndpoint moved = new FakeEndpoint(FakeEndpoint.serving(BODY));
        hosts.add(moved);
        try (Socket s = channel.accept()) {
            resumed(s);
            tell(
                    s,
                    TestConfigs.listUpdate(
                            2,
                            false,
                            List.of(
                                    TestConfigs.endpoint(
                                            "s-1", hosts.get(0).address(), "box", "left"))));
            tell(
                    s,
                    TestConfigs.listUpdate(
                            3,
                            false,
                            List.of(
                                    TestConfigs.endpoint(
                                            "s-1", moved.address(), "box", "active"))));
            int i = 2;
            while (moved.received.isEmpty()) {
                assertArrayEquals(BODY, caller.request(i, 0x30 + i, 0x94, 2000).body());
                i++;
            }
            int before = moved.received.size();
            assertArrayEquals(BODY, caller.request(i, 0x30 + i, 0x94, 2000).body());
            assertEquals(before + 1, moved.received.size());
        }
    }

    @Test
    void aSilentCommandChannelIsLeft() throws Exception {
        start(FakeEndpoint.serving(BODY));
        try (Socket first = channel.accept()) {
            assertEquals("resume 1", resumed(first));
            try (Socket second = channel.accept()) {
                assertEquals("resume 1", resumed(second));
            }
        }
    }

    @Test
    void aNewConfigurationMovesTheCommandChannel() throws Exception {
        start(FakeEndpoint.serving(BODY));
        try (Socket first = channel.accept();
                ServerSocket next = new ServerSocket(0, 9, InetAddress.getLoopbackAddress())) {
            assertEquals("resume 1", resumed(first));
            write("{\"chan");
            node.reload();
            write(TestConfigs.config("127.0.0.1:" + next.getLocalPort(), List.of()));
            try (Socket second = next.accept()) {
                assertEquals("resume 1", resumed(second));
            }
        }
    }

    @Test
    void anEndLetsWhatIsTakenBeAnswered() throws Exception {
        start(
                (a, out, s) -> {
                    if (a.id() == 0x25) {
                        until2(() -> hosts.get(0).received.size() > 1);
                    }
                    FakeEndpoint.serving(BODY).handle(a, out, s);
                });
        caller.send(
                RpcTestClient.encodeCall(
                        1,
                        TestConfigs.READ_CLASS,
                        RpcTestClient.fields(0x25, 0x91, 2400),
                        new byte[0]));
        until(() -> !hosts.get(0).received.isEmpty());
        Thread end =
                new Thread(
                        () -> {
                            try {
                                node.drain();
                            } catch (InterruptedException e) {
                                Thread.currentThread().interrupt();
                            }
                        });
        end.start();
        try (RpcTestClient other = new RpcTestClient(node.address())) {
            other.send(RpcTestClient.encodeCall(1, "isWell", Map.of(), null));
            until(
                    () -> {
                        try {
                            other.send(RpcTestClient.encodeCall(2, "isWell", Map.of(), null));
                            return !other.response().healthy();
                        } catch (IOException | MalformedMessageException e) {
                            throw new IllegalStateException(e);
                        }
                    });
            assertArrayEquals(BODY, ask(other));
        }
        assertArrayEquals(BODY, caller.response().body());
        end.join();
        assertFalse(end.isAlive());
    }

    private static byte[] ask(RpcTestClient c) throws IOException, MalformedMessageException {
        c.send(
                RpcTestClient.encodeCall(
                        3,
                        TestConfigs.READ_CLASS,
                        RpcTestClient.fields(0x26, 0x92, 2400),
                        new byte[0]));
        for (Response a = c.response(); a != null; a = c.response()) {
            if (a.messageId() == 3) {
                return a.body();
            }
        }
        return null;
    }

    private static void until2(java.util.function.BooleanSupplier what) {
        while (!what.getAsBoolean()) {
            Thread.onSpinWait();
        }
    }
}
