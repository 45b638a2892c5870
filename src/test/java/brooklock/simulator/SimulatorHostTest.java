package brooklock.simulator;

import static brooklock.simulator.TestRecords.SETTINGS;
import static brooklock.simulator.TestRecords.frame;
import static brooklock.simulator.TestRecords.hex;
import static brooklock.simulator.TestRecords.record;
import static brooklock.simulator.TestRecords.startRecord;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Arrays;
import org.junit.jupiter.api.Test;

/** Tests batches and replies, and input that does not have the wire format. */
class SimulatorHostTest {
    private static final byte[] EMPTY_REPLY = hex("00000000");

    private static byte[] serve(byte[] input) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        new SimulatorHost().serve(new ByteArrayInputStream(input), out);
        return out.toByteArray();
    }

    private static String malformedMessage(byte[] input) {
        return assertThrows(MalformedFrameException.class, () -> serve(input)).getMessage();
    }

    @Test
    void anEmptyBatchGetsAnEmptyReplyAndEndOfInputIsNoError() throws IOException {
        assertArrayEquals(EMPTY_REPLY, serve(frame()));
    }

    @Test
    void anInstanceIsStoppedAndStartedInOneBatch() throws IOException {
        byte[] stop = record(25, hex("03000000"));
        assertArrayEquals(
                EMPTY_REPLY,
                serve(frame(startRecord(3, SETTINGS), stop, startRecord(3, SETTINGS))));
    }

    @Test
    void aTruncatedFrameIsReported() {
        byte[] complete = frame(startRecord(3, SETTINGS));
        assertTrue(
                malformedMessage(Arrays.copyOf(complete, 7))
                        .contains("truncated frame: the input ended after 7 bytes of a header"));
        assertTrue(
                malformedMessage(Arrays.copyOf(complete, 40))
                        .contains("truncated frame: the input ended after 28 bytes of a body"));
    }

    @Test
    void anUnknownCodeIsReported() {
        assertTrue(
                malformedMessage(frame(record(99, hex("03000000"))))
                        .contains(
                                "record at byte 0: expected an event code from 16 to 26 but received"
                                        + " 99"));
    }

    @Test
    void aFieldPastItsRecordIsReported() {
        String message =
                malformedMessage(frame(startRecord(3, SETTINGS), record(21, hex("03000000 0102"))));
        assertTrue(
                message.contains("code 21")
                        && message.contains("a field extends beyond its end at byte"),
                message);
        assertTrue(
                malformedMessage(frame(hex("15 ff000000 03000000")))
                        .contains("but expected at most 4, the rest of the frame"));
    }

    @Test
    void settingsThatCannotBeParsedAreReported() {
        assertTrue(
                malformedMessage(frame(startRecord(3, "{\"lanes\": 1,"))).contains("(settings)"));
        assertTrue(
                malformedMessage(frame(startRecord(3, "{\"lanes\": [{\"effect\": \"odd\"}]}")))
                        .contains(
                                "expected 'effect' of an entry of 'lanes' to be read_like,"
                                        + " idempotency_key or non_idempotent but received 'odd'"));
    }

    /** A request of a class that does not exist makes the router fail. The host continues. */
    @Test
    void aFailureOfTheRouterIsReportedForItsInstance() throws IOException {
        byte[] request =
                hex(
                        "12 2c000000 03000000 c4913a5d3ef60e00 01 0000 00004040 05 00003041"
                                + "640ad2557c3bf091 00002044 90dbb60302000000");
        byte[] reply = serve(frame(startRecord(3, SETTINGS), request));
        assertEquals(25, reply[4]);
    }
}
