package brooklock.simulator;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brooklock.routing.AttemptOutcome;
import brooklock.routing.CacheStatus;
import brooklock.routing.EndpointListKind;
import brooklock.routing.RouterAction;
import brooklock.routing.RouterEvent.AttemptCompleted;
import brooklock.routing.RouterEvent.EndpointListReceived;
import brooklock.routing.RouterEvent.RequestReceived;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import org.junit.jupiter.api.Test;

class SimulatorHostTest {
    private static final String SETTINGS =
            """
            {"lanes": [{"name": "page", "effect": "read_like", "onTimeNs": 300000000, "giveUpNs": 3000000000}],
             "extra": {"secondTierKind": 1, "storeKind": 2, "passThroughOk": true, "unheardOf": [1]},
             "limits": {"tryLimit": 6}, "tickNs": 2000000, "zone": 1, "machineTypes": ["c", "p", "o"]}""";

    private static byte[] hex(String text) {
        return HexFormat.of().parseHex(text.replaceAll("\\s", ""));
    }

    private static SimulatorCodec.EventDecoder read(String text) {
        SimulatorCodec.EventDecoder r = new SimulatorCodec.EventDecoder(hex(text));
        assertTrue(r.nextRecord());
        return r;
    }

    private static byte[] record(int code, byte[] fields) {
        return ByteBuffer.allocate(5 + fields.length)
                .order(ByteOrder.LITTLE_ENDIAN)
                .put((byte) code)
                .putInt(fields.length)
                .put(fields)
                .array();
    }

    private static byte[] up(int who, String settings) {
        byte[] text = settings.getBytes(StandardCharsets.UTF_8);
        return record(
                16,
                ByteBuffer.allocate(16 + text.length)
                        .order(ByteOrder.LITTLE_ENDIAN)
                        .putInt(who)
                        .putLong(9)
                        .putInt(text.length)
                        .put(text)
                        .array());
    }

    private static byte[] frame(byte[]... records) {
        int n = 0;
        for (byte[] r : records) {
            n += r.length;
        }
        ByteBuffer b =
                ByteBuffer.allocate(12 + n)
                        .order(ByteOrder.LITTLE_ENDIAN)
                        .putInt(n)
                        .putLong(5_000_000_000L);
        for (byte[] r : records) {
            b.put(r);
        }
        return b.array();
    }

    private static byte[] serve(byte[] input) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        new SimulatorHost().serve(new ByteArrayInputStream(input), out);
        return out.toByteArray();
    }

    private static String fault(byte[] input) {
        return assertThrows(SimulatorCodec.MalformedFrameException.class, () -> serve(input))
                .getMessage();
    }

    @Test
    void aRequestIsRead() {
        SimulatorCodec.EventDecoder r =
                read(
                        "12 2c000000 03000000 c4913a5d3ef60e00 01 0000 00004040 00 00003041"
                                + "640ad2557c3bf091 00002044 90dbb60302000000");
        assertEquals(3, r.instance());
        RequestReceived q = (RequestReceived) r.event(0);
        assertEquals(3, q.part());
        assertEquals(11, q.group());
        assertEquals(640, q.sizeKb());
        assertEquals(0x0203b6db90L, q.deadlineNs());
    }

    @Test
    void anOutcomeIsRead() {
        AttemptCompleted d =
                (AttemptCompleted)
                        read("14 36000000 03000000 c4913a5d3ef60e00 0a00 a0491a0100000000 02000000 074a1203 01 0000"
                                        + "c06e8f0000000000 03 52b81e3f0000e040cdcccc3e")
                                .event(0);
        assertEquals(AttemptOutcome.OK, d.outcome());
        assertEquals(CacheStatus.FILLED_BY_PARENT, d.cacheStatus());
        assertTrue(d.requestFinished());
    }

    @Test
    void trailingFieldsMayBeAbsent() {
        AttemptCompleted d =
                (AttemptCompleted) read("14 0e000000 03000000 c4913a5d3ef60e00 1e00").event(0);
        assertEquals(AttemptOutcome.OVERLOADED, d.outcome());
        assertEquals(0, d.attempt());
    }

    @Test
    void probesAndOtherRoutersMessagesAreReadAndIgnored() {
        assertNull(
                read("17 1f000000 03000000 f211902c 0a00 c05c150000000000 03 52b81e3f0000e040cdcccc3e")
                        .event(0));
        assertNull(read("18 0c000000 03000000 0200 0400 68692037").event(0));
        assertThrows(
                SimulatorCodec.MalformedFrameException.class,
                () -> read("18 0a000000 03000000 0200 0400 6869").event(0));
    }

    @Test
    void aHostListIsRead() {
        EndpointListReceived l =
                (EndpointListReceived)
                        read("11 3d000000 03000000 02 2900000000000000 02000000"
                                        + "074a1203 00 0000 0000 01 0000803f 0000000000000000"
                                        + "f211902c 01 0000 0000 01 0000c03f 009d966b01000000")
                                .event(0);
        assertEquals(EndpointListKind.CACHED, l.kind());
        assertEquals(1.5, l.endpoints().get(1).weight());
    }

    @Test
    void actionsAreWrittenAsTheWireAsks() {
        SimulatorCodec.ActionEncoder w = new SimulatorCodec.ActionEncoder();
        w.action(
                3,
                new RouterAction.StartAttempt(
                        0x0ef63e5d3a91c4L, 0x03124a07, 60, 0x2c9011f2L, 2, 7, true, true, 60));
        w.action(3, new RouterAction.SetTimer(0x4d, 0x0213362490L));
        ByteBuffer b = ByteBuffer.wrap(w.frame()).order(ByteOrder.LITTLE_ENDIAN);
        assertEquals(b.capacity() - 4, b.getInt(0));
        byte[] timer = new byte[21];
        b.position(b.capacity() - 21).get(timer);
        assertArrayEquals(hex("14 10000000 03000000 4d000000 9024361302000000"), timer);
        byte[] get = new byte[43];
        b.position(4).get(get);
        assertArrayEquals(
                hex(
                        "1c 26000000 03000000 c4913a5d3ef60e00 074a1203 3c00000000000000 f211902c 02"
                                + "0700000000000000 03"),
                get);
    }

    @Test
    void anEmptyBatchGetsAnEmptyReplyAndTheEndIsQuiet() throws IOException {
        assertArrayEquals(hex("00000000"), serve(frame()));
    }

    @Test
    void stopAndStartInOneBatch() throws IOException {
        byte[] stop = record(25, hex("03000000"));
        assertArrayEquals(hex("00000000"), serve(frame(up(3, SETTINGS), stop, up(3, SETTINGS))));
    }

    @Test
    void aTruncatedFrameIsNamed() {
        byte[] whole = frame(up(3, SETTINGS));
        assertTrue(
                fault(java.util.Arrays.copyOf(whole, 7)).contains("truncated frame: header has 7"));
        assertTrue(
                fault(java.util.Arrays.copyOf(whole, 40)).contains("truncated frame: body has 28"));
    }

    @Test
    void anUnknownCodeIsNamed() {
        assertTrue(
                fault(frame(record(99, hex("03000000"))))
                        .contains("record at byte 0: unknown event code 99"));
    }

    @Test
    void aFieldPastItsRecordIsNamed() {
        String text = fault(frame(up(3, SETTINGS), record(21, hex("03000000 0102"))));
        assertTrue(text.contains("code 21") && text.contains("runs past the record"), text);
        assertTrue(fault(frame(hex("15 ff000000 03000000"))).contains("runs past the frame"));
    }

    @Test
    void settingsThatDoNotParseAreNamed() {
        assertTrue(fault(frame(up(3, "{\"lanes\": 1,"))).contains("(settings)"));
        assertTrue(
                fault(frame(up(3, "{\"lanes\": [{\"effect\": \"odd\"}]}")))
                        .contains("unknown effect 'odd'"));
    }

    @Test
    void aFaultOfTheModuleBecomesABailOut() throws IOException {
        byte[] request =
                hex(
                        "12 2c000000 03000000 c4913a5d3ef60e00 01 0000 00004040 05 00003041"
                                + "640ad2557c3bf091 00002044 90dbb60302000000");
        byte[] reply = serve(frame(up(3, SETTINGS), request));
        assertEquals(25, reply[4]);
    }
}
