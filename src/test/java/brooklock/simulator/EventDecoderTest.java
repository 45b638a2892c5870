package brooklock.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brooklock.routing.AttemptOutcome;
import brooklock.routing.CacheStatus;
import brooklock.routing.EndpointListKind;
import brooklock.routing.RouterEvent.AttemptCompleted;
import brooklock.routing.RouterEvent.EndpointListReceived;
import brooklock.routing.RouterEvent.RequestReceived;
import org.junit.jupiter.api.Test;

/** Tests the decoding of records byte by byte. */
class EventDecoderTest {
    private static EventDecoder decoder(String hex) {
        EventDecoder decoder = new EventDecoder(TestRecords.hex(hex));
        assertTrue(decoder.nextRecord());
        return decoder;
    }

    @Test
    void request() {
        EventDecoder decoder =
                decoder(
                        "12 2c000000 03000000 c4913a5d3ef60e00 01 0000 00004040 00 00003041"
                                + "640ad2557c3bf091 00002044 90dbb60302000000");
        assertEquals(3, decoder.instance());
        RequestReceived request = (RequestReceived) decoder.event();
        assertEquals(3, request.part());
        assertEquals(11, request.group());
        assertEquals(640, request.sizeKb());
        assertEquals(0x0203b6db90L, request.deadlineNs());
    }

    @Test
    void attemptCompleted() {
        AttemptCompleted completed =
                (AttemptCompleted)
                        decoder(
                                        "14 36000000 03000000 c4913a5d3ef60e00 0a00 a0491a0100000000"
                                                + "02000000 074a1203 01 0000 c06e8f0000000000"
                                                + "03 52b81e3f0000e040cdcccc3e")
                                .event();
        assertEquals(AttemptOutcome.OK, completed.outcome());
        assertEquals(CacheStatus.FILLED_BY_PARENT, completed.cacheStatus());
        assertTrue(completed.requestFinished());
    }

    @Test
    void trailingFieldsMayBeAbsent() {
        AttemptCompleted completed =
                (AttemptCompleted) decoder("14 0e000000 03000000 c4913a5d3ef60e00 1e00").event();
        assertEquals(AttemptOutcome.OVERLOADED, completed.outcome());
        assertEquals(0, completed.attempt());
    }

    @Test
    void healthChecksAndPeerMessagesAreReadAndIgnored() {
        assertNull(
                decoder(
                                "17 1f000000 03000000 f211902c 0a00 c05c150000000000"
                                        + "03 52b81e3f0000e040cdcccc3e")
                        .event());
        assertNull(decoder("18 0c000000 03000000 0200 0400 68692037").event());
        assertThrows(
                MalformedFrameException.class,
                () -> decoder("18 0a000000 03000000 0200 0400 6869").event());
    }

    @Test
    void endpointList() {
        EndpointListReceived list =
                (EndpointListReceived)
                        decoder(
                                        "11 3d000000 03000000 02 2900000000000000 02000000"
                                                + "074a1203 00 0000 0000 01 0000803f 0000000000000000"
                                                + "f211902c 01 0000 0000 01 0000c03f 009d966b01000000")
                                .event();
        assertEquals(EndpointListKind.CACHED, list.kind());
        assertEquals(1.5, list.endpoints().get(1).weight());
    }
}
