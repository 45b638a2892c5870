package brooklock.platform;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brooklock.routing.AttemptOutcome;
import brooklock.routing.CacheStatus;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests how the codes and fields of response frames map to results of attempts. */
class ResponseFrameDecoderTest {
    private static final String ETAG = "4be0c1927d55a6f3";

    private static ClientRequest request(String etag) {
        return new ClientRequest(
                1,
                TestConfigs.READ_RULES,
                "pages",
                "000000000000007f",
                0,
                0,
                0,
                1000,
                false,
                null,
                etag,
                new byte[0]);
    }

    private static AttemptResult decode(int code, Map<String, String> fields, String etag)
            throws MalformedMessageException {
        return ResponseFrameDecoder.decode(
                new Frame(code, 1, fields, new byte[] {7}), request(etag));
    }

    @ParameterizedTest
    @CsvSource({
        "64, OK",
        "65, OK",
        "66, CACHE_MISS",
        "67, OVERLOADED",
        "68, ERROR",
        "69, NOT_STARTED"
    })
    void codesMapToOutcomes(int code, AttemptOutcome outcome) throws MalformedMessageException {
        AttemptResult result = decode(code, Map.of("rev", ETAG), ETAG);
        assertEquals(outcome, result.outcome());
        assertEquals(code == 65, result.notModified());
        assertArrayEquals(new byte[] {7}, result.body());
    }

    @ParameterizedTest
    @CsvSource({
        "hit, HIT",
        "filled, FILLED_BY_PARENT",
        "via_origin, FILLED_BY_ORIGIN",
        "joined, COLLAPSED",
        "stale, STALE",
        "src_refused, FILL_SOURCE_REJECTED",
        "src_broke, FILL_SOURCE_CONNECTION_LOST",
        "src_lacks, FILL_SOURCE_MISS",
        "no_slot, NO_CAPACITY",
        "origin_failed, ORIGIN_FAILED",
        "unheard-of, NONE"
    })
    void wordsMapToCacheStatuses(String word, CacheStatus status) throws MalformedMessageException {
        assertEquals(status, decode(64, Map.of("tell", word), null).cacheStatus());
    }

    @Test
    void aResponseWithoutFieldsHasDefaults() throws MalformedMessageException {
        AttemptResult result = decode(64, Map.of(), null);
        assertEquals(CacheStatus.NONE, result.cacheStatus());
        assertEquals(0, result.fillDurationNs());
    }

    @ParameterizedTest
    @CsvSource({"0, 0", "1.5, 1500000", "250, 250000000", "0.000001, 1"})
    void theFillDurationIsInMilliseconds(String ms, long ns) throws MalformedMessageException {
        assertEquals(ns, decode(64, Map.of("fill", ms), null).fillDurationNs());
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "soon", "-1", "1e3", ".5", "1.", "1234567890"})
    void aMalformedFillDurationIsRejected(String ms) {
        assertThrows(MalformedMessageException.class, () -> decode(64, Map.of("fill", ms), null));
    }

    @Test
    void aCodeThatIsNotAResponseIsRejected() {
        MalformedMessageException e =
                assertThrows(MalformedMessageException.class, () -> decode(70, Map.of(), null));
        assertTrue(e.getMessage().contains("70"));
    }

    /**
     * An endpoint states that the client's copy is current, although the client has no copy or has
     * a copy with another entity tag. If the response were accepted, the client would receive no
     * body or would keep using an outdated copy.
     */
    @Test
    void onlyTheClientsOwnCopyCanBeConfirmed() {
        assertThrows(MalformedMessageException.class, () -> decode(65, Map.of("rev", ETAG), null));
        assertThrows(
                MalformedMessageException.class,
                () -> decode(65, Map.of("rev", "5555555555555555"), ETAG));
        assertThrows(MalformedMessageException.class, () -> decode(65, Map.of(), ETAG));
    }
}
