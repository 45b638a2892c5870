package brooklock.platform;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brooklock.routing.EndpointListKind;
import brooklock.routing.EndpointState;
import brooklock.routing.RouterEvent.EndpointListReceived;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The protocols' parsers at every cut, and what they turn away. */
class CodecTest {
    private static final Map<String, ClientRequest.RequestClass> CLASSES =
            Map.of(
                    "pages",
                    new ClientRequest.RequestClass(0, false, false, 2500),
                    "orders",
                    new ClientRequest.RequestClass(1, true, true, 3000));

    private interface MessageDecoder<T> {
        T next(ByteBuffer in) throws MalformedMessageException;
    }

    // Feeds bytes in two pieces, what is left of the first before the second, as a connection does.
    private static <T> List<T> read(MessageDecoder<T> reader, byte[] bytes, int cut)
            throws MalformedMessageException {
        List<T> out = new ArrayList<>();
        ByteBuffer in = ByteBuffer.allocate(bytes.length);
        for (int[] piece : new int[][] {{0, cut}, {cut, bytes.length}}) {
            in.put(bytes, piece[0], piece[1] - piece[0]).flip();
            for (T t = reader.next(in); t != null; t = reader.next(in)) {
                out.add(t);
            }
            in.compact();
        }
        return out;
    }

    private static byte[] hex(String text) {
        String digits = text.replace(" ", "");
        byte[] out = new byte[digits.length() / 2];
        for (int i = 0; i < out.length; i++) {
            out[i] = (byte) Integer.parseInt(digits.substring(2 * i, 2 * i + 2), 16);
        }
        return out;
    }

    @Test
    void callsAreReadAtEveryCut() throws MalformedMessageException {
        byte[] body = new byte[300];
        new Random(7).nextBytes(body);
        byte[] bytes =
                RpcTestClient.concat(
                        RpcTestClient.encodeCall(
                                7, "pages", Map.of("i", "9b1f03aa5c7e2d41", "d", "1500"), body),
                        RpcTestClient.encodeCancel(7),
                        RpcTestClient.encodeCall(300, "isWell", Map.of(), null));
        for (int cut = 0; cut <= bytes.length; cut++) {
            List<RpcMessage> got = read(new RpcDecoder()::next, bytes, cut);
            assertEquals(3, got.size());
            RpcMessage.Call call = (RpcMessage.Call) got.get(0);
            assertEquals(Map.of("i", "9b1f03aa5c7e2d41", "d", "1500"), call.fields());
            assertArrayEquals(body, call.body());
            assertEquals(new RpcMessage.Cancel(7), got.get(1));
            assertEquals(300, ((RpcMessage.Call) got.get(2)).messageId());
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "c1", // no token
                "95 00", // a message of five parts
                "94 01", // an answer
                "93 00", // a notice that is a call
                "94 00 ff", // a message number below 0
                "94 00 cf ffffffffffffffff", // ... or above all numbers
                "94 00 ca 3f800000", // ... or with a point
                "94 00 01 c6 03938700", // a name of 60 MB
                "94 00 01 a1 61 92 df ffffffff", // four thousand million fields
                "94 00 01 a1 61 92 81 01", // a field without a name
                "94 00 01 a1 61 92 82 a1 69 a1 31 a1 69 a1 31", // a field twice
                "94 00 01 a1 61 92 81 a1 69 c4 01 31", // a value that is no text
                "94 00 01 a1 61 92 80 c6 7fffffff", // a body without end
                "94 00 01 a1 61 92 80 a1 31", // a body that is a text
                "94 00 01 a1 ff 92 80", // a name that is no UTF-8
                "93 02 a4 73746f70", // an unknown notice
            })
    void whatIsNoMessageIsToldAtOnce(String text) {
        assertThrows(
                MalformedMessageException.class, () -> read(new RpcDecoder()::next, hex(text), 0));
    }

    @Test
    void framesAreReadAtEveryCut() throws MalformedMessageException {
        byte[] body = new byte[700];
        new Random(9).nextBytes(body);
        byte[] bytes =
                RpcTestClient.concat(
                        FrameEncoder.encode(
                                        Frame.ENDPOINT_MARK,
                                        Frame.OK,
                                        -5,
                                        "rev=4be0,tell=hit",
                                        body)
                                .array(),
                        FrameEncoder.encode(Frame.ENDPOINT_MARK, Frame.MISS, 6, "", new byte[0])
                                .array());
        for (int cut = 0; cut <= bytes.length; cut++) {
            List<Frame> got = read(new FrameDecoder()::next, bytes, cut);
            assertEquals(2, got.size());
            assertEquals(-5, got.get(0).id());
            assertEquals(Map.of("rev", "4be0", "tell", "hit"), got.get(0).fields());
            assertArrayEquals(body, got.get(0).body());
            assertEquals(Frame.MISS, got.get(1).code());
        }
    }

    @Test
    void everyBitOfAFrameCounts() {
        byte[] good =
                FrameEncoder.encode(
                                Frame.ENDPOINT_MARK, Frame.OK, 77, "rev=4b,tell=hit", new byte[40])
                        .array();
        for (int bit = 0; bit < good.length * 8; bit++) {
            byte[] bad = good.clone();
            bad[bit / 8] ^= (byte) (1 << bit % 8);
            Frame f;
            try {
                f = new FrameDecoder().next(ByteBuffer.wrap(bad));
            } catch (MalformedMessageException told) {
                continue;
            }
            // What is left: a length that waits for more, another answer's code, another's id.
            assertTrue(f == null || f.id() != 77 || f.code() != Frame.OK, "bit " + bit);
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "5a 40 0000 c0000000 0000000000000001",
                "5a 40 ffff 00000000 0000000000000001",
                "a5 40 0000 00000000 0000000000000001",
                "5a 10 0000 00000000 0000000000000001",
                "5a 40 0000 00000000 0000000000000001 00000001"
            })
    void framesThatDoNotFitAreToldFromTheirHead(String text) {
        assertThrows(
                MalformedMessageException.class,
                () -> read(new FrameDecoder()::next, hex(text), 0));
    }

    @Test
    void fieldsOfFramesAreStrict() {
        for (String bad : List.of("rev", "=1", "a=1,a=2", "a=1,", ",")) {
            assertThrows(
                    MalformedMessageException.class,
                    () -> FrameDecoder.parseFields(bad.getBytes(StandardCharsets.ISO_8859_1)),
                    bad);
        }
    }

    @Test
    void theCommandChannelIsReadAtEveryCut() throws MalformedMessageException {
        String text =
                TestConfigs.listUpdate(
                                41,
                                false,
                                List.of(
                                        TestConfigs.endpoint(
                                                "s-1", "127.0.0.1:5", "box", "leaving")))
                        + "\n"
                        + "{\"cursor\":42,\"drop\":{\"id\":\"7f3a9c21e0b4d655\",\"when\":1764576000123}}\n"
                        + "{\"cursor\":43,\"drop\":{\"family\":17,\"when\":1764576000480}}\n43\n{\"cursor\":44,\"else\":{}}\n{\"cur";
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        for (int cut = 0; cut <= bytes.length; cut++) {
            List<DiscoveryEvent> got = read(new DiscoveryEventDecoder()::next, bytes, cut);
            assertEquals(5, got.size());
            assertEquals(
                    "leaving",
                    ((DiscoveryEvent.EndpointListUpdate) got.get(0)).endpoints().get(0).status());
            assertEquals(
                    new DiscoveryEvent.Purge(42, 0x7f3a9c21e0b4d655L, 0, 1764576000123L),
                    got.get(1));
            assertEquals(new DiscoveryEvent.Purge(43, 0, 17, 1764576000480L), got.get(2));
            assertEquals(new DiscoveryEvent.Heartbeat(43), got.get(3));
            assertEquals(new DiscoveryEvent.UnknownEvent(44), got.get(4));
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "{",
                "null",
                "[]",
                "{}",
                "{\"cursor\":\"x\"}",
                "{\"cursor\":1,\"drop\":{}}",
                "{\"cursor\":1,\"drop\":{\"id\":\"x\",\"when\":1}}",
                "{\"cursor\":1,\"nodes\":{\"snapshot\":true,\"endpoints\":[{}]}}",
                "43 44",
                "\u0000"
            })
    void linesThatTellNothingAreTold(String line) {
        assertThrows(MalformedMessageException.class, () -> DiscoveryEventDecoder.parse(line));
    }

    private static Map<String, String> with(String name, String value) {
        Map<String, String> f =
                new HashMap<>(
                        Map.of(
                                "i",
                                "9b1f03aa5c7e2d41",
                                "d",
                                "1500",
                                "o",
                                "7f3a9c21e0b4d655",
                                "seg",
                                "3",
                                "bucket",
                                "17",
                                "m",
                                "412.5"));
        if (value == null) {
            f.remove(name);
        } else {
            f.put(name, value);
        }
        return f;
    }

    private static ClientRequest ask(String cls, Map<String, String> fields, int body)
            throws MalformedMessageException {
        return ClientRequest.parse(new RpcMessage.Call(1, cls, fields, new byte[body]), CLASSES);
    }

    @Test
    void requestsAreTakenAsTheyStand() throws MalformedMessageException {
        ClientRequest r = ask("pages", with("r", "1"), 0);
        assertEquals(0x9b1f03aa5c7e2d41L, r.id());
        assertEquals(
                List.of(3, 17, 1500, 412.5, true),
                List.of(r.part(), r.group(), r.timeoutMs(), r.sizeKb(), r.clientRetry()));
        assertNull(r.etag());
        assertEquals(
                "5c0f6e1a2b3d4c59a8b7c6d5e4f30211",
                ask("orders", with("k", "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"), 9).idempotencyKey());
    }

    @Test
    void requestsOutOfOrderAreTurnedAway() {
        String[][] bad = {
            {"i", null},
            {"i", "9b1f03aa5c7e2d4"},
            {"i", "9B1F03AA5C7E2D41"},
            {"i", "9b1f03aa5c7e2d4,"},
            {"d", null},
            {"d", "0"},
            {"d", "-5"},
            {"d", "2501"},
            {"d", "1e3"},
            {"d", "99999999999999999999"},
            {"o", null},
            {"o", "x"},
            {"seg", "-1"},
            {"seg", "70000"},
            {"bucket", "256"},
            {"bucket", "a"},
            {"m", "NaN"},
            {"m", "-1"},
            {"m", "1e400"},
            {"r", "yes"},
            {"etag", "a,up=b"}
        };
        for (String[] b : bad) {
            assertThrows(
                    MalformedMessageException.class,
                    () -> ask("pages", with(b[0], b[1]), 0),
                    String.join(" ", b[0], "" + b[1]));
        }
        assertThrows(MalformedMessageException.class, () -> ask("nothing", with("r", "1"), 0));
        assertThrows(MalformedMessageException.class, () -> ask("pages", with("r", "1"), 1));
        assertThrows(MalformedMessageException.class, () -> ask("orders", with("r", "1"), 1));
    }

    @Test
    void hostsAreTheSameNumberEverywhereAndTheirStartsOneMoment() {
        long[] moment = {100};
        EndpointTable table =
                new EndpointTable(List.of("west"), List.of("box", "origin"), ms -> moment[0]++);
        DiscoveryEvent.Endpoint a =
                new DiscoveryEvent.Endpoint("s-a", "127.0.0.1:1", "west", "box", "active", 4, 1000);
        EndpointListReceived first =
                table.apply(
                        new DiscoveryEvent.EndpointListUpdate(
                                1,
                                true,
                                List.of(
                                        a,
                                        new DiscoveryEvent.Endpoint(
                                                "s-b",
                                                "127.0.0.1:2",
                                                "nowhere",
                                                "box",
                                                "active",
                                                4,
                                                0))));
        assertEquals(EndpointListKind.FULL, first.kind());
        assertEquals(1, first.endpoints().size());
        long number = first.endpoints().get(0).id();
        EndpointTable other = new EndpointTable(List.of("west"), List.of("box", "origin"), ms -> 1);
        assertEquals(
                number,
                other.apply(new DiscoveryEvent.EndpointListUpdate(1, true, List.of(a)))
                        .endpoints()
                        .get(0)
                        .id());
        EndpointListReceived again =
                table.apply(new DiscoveryEvent.EndpointListUpdate(2, false, List.of(a)));
        assertEquals(EndpointListKind.DELTA, again.kind());
        assertEquals(100, again.endpoints().get(0).startedAtNs());
        EndpointListReceived restarted =
                table.apply(
                        new DiscoveryEvent.EndpointListUpdate(
                                3,
                                false,
                                List.of(
                                        new DiscoveryEvent.Endpoint(
                                                "s-a",
                                                "127.0.0.1:1",
                                                "west",
                                                "box",
                                                "active",
                                                4,
                                                2000))));
        assertNotEquals(100, restarted.endpoints().get(0).startedAtNs());
        EndpointListReceived left =
                table.apply(
                        new DiscoveryEvent.EndpointListUpdate(
                                4,
                                false,
                                List.of(
                                        new DiscoveryEvent.Endpoint(
                                                "s-a", "", "", "", "left", 0, 0))));
        assertEquals(EndpointState.GONE, left.endpoints().get(0).state());
        assertTrue(table.get(number).isGone());
    }

    @Test
    void aListThatLeavesAHostOutTakesItAway() {
        EndpointTable table = new EndpointTable(List.of("west"), List.of("box"), ms -> 1);
        long number =
                table.apply(
                                new DiscoveryEvent.EndpointListUpdate(
                                        1,
                                        true,
                                        List.of(
                                                new DiscoveryEvent.Endpoint(
                                                        "s-a",
                                                        "127.0.0.1:1",
                                                        "west",
                                                        "box",
                                                        "active",
                                                        4,
                                                        0))))
                        .endpoints()
                        .get(0)
                        .id();
        table.apply(new DiscoveryEvent.EndpointListUpdate(2, true, List.of()));
        assertTrue(table.get(number).isGone());
    }

    @Test
    void aConfigurationThatIsNoneIsToldAsOne() {
        String good = TestConfigs.config("127.0.0.1:1", List.of());
        for (String bad :
                List.of(
                        "",
                        "{}",
                        good.substring(0, good.length() / 2),
                        good.replace("127.0.0.1:1", "a.host:1"),
                        good.replace("\"lanes\"", "\"lines\""))) {
            assertThrows(IOException.class, () -> PlatformConfig.parse(bad));
        }
    }
}
