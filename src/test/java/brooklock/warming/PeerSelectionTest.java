package brooklock.warming;

import static brooklock.warming.WarmingFixture.LIMITS;
import static brooklock.warming.WarmingFixture.MILLIS;
import static brooklock.warming.WarmingFixture.SECONDS;
import static brooklock.warming.WarmingFixture.cold;
import static brooklock.warming.WarmingFixture.fleet;
import static brooklock.warming.WarmingFixture.report;
import static brooklock.warming.WarmingFixture.warm;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brooklock.warming.CacheWarming.CacheEndpoint;
import brooklock.warming.CacheWarming.PeerResult;
import java.util.List;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests from which peer a miss at a recently started cache is filled. Object 1 belongs to cache 1,
 * and to cache 2 while cache 1 is down.
 */
class PeerSelectionTest {
    private static final long START = 100 * SECONDS;

    /**
     * Returns the first peer selected for object 1 at cache 1 between two times, or 0 if none is.
     */
    private static long firstPeer(CacheWarming<String> warming, long from, long to) {
        for (long now = from; now < to; now += 10 * MILLIS) {
            long peer = warming.selectFillPeer(1, 1, 0, now);
            if (peer != 0) {
                return peer;
            }
        }
        return 0;
    }

    // A cache restarts without its copies. If all its misses were sent to the parent, they would
    // overload it. The peer that served the parts while the cache was down holds them, but must
    // keep enough capacity for its own clients.
    @Test
    @DisplayName("a miss is filled from the next peer by hash while that peer has capacity")
    void nearestPeerWithCapacity() {
        CacheWarming<String> warming = fleet(LIMITS, START);
        assertEquals(
                2,
                firstPeer(warming, START, START + 3 * SECONDS),
                "cache 2 is next to cache 1 by hash");
        assertEquals(0, warming.selectFillPeer(2, 1, 0, START), "a warm cache needs no peer");
        int selections = 0;
        for (long at = START + 3 * SECONDS; at < START + 6 * SECONDS; at += 5 * MILLIS) {
            warming.onReport(2, report(0.2, 0.9, at));
            selections += warming.selectFillPeer(1, 1, 0, at) == 2 ? 1 : 0;
        }
        // At most a fifth of the 250 requests per second that this dispatcher sends to the peer.
        assertTrue(selections > 3 && selections <= 150, "peer selections: " + selections);
        warming.onReport(2, report(0.95, 0.9, START + 6 * SECONDS));
        assertNotEquals(
                2,
                firstPeer(warming, START + 6 * SECONDS, START + 6 * SECONDS + 900 * MILLIS),
                "the peer's own clients need its capacity");
    }

    @Test
    @DisplayName("a peer that is draining, gone or recently started is not selected")
    void ineligiblePeers() {
        CacheWarming<String> warming = fleet(LIMITS, START);
        warming.onEndpointList(
                List.of(
                        cold(1, START),
                        new CacheEndpoint(2, 0, false, 0, 0),
                        cold(3, START - SECONDS),
                        warm(5)),
                START);
        warming.onReport(5, report(0.2, 0.9, START));
        assertEquals(
                5,
                firstPeer(warming, START, START + 3 * SECONDS),
                "cache 2 is draining, cache 3 has just started, cache 4 is gone");
        warming.onPeerResult(1, 5, PeerResult.FAILED, START + 3 * SECONDS);
        for (long at = START + 3 * SECONDS; at < START + 4 * SECONDS; at += 50 * MILLIS) {
            warming.onReport(5, report(0.2, 0.9, at));
            assertEquals(0, warming.selectFillPeer(1, 1, 0, at), "the peer has just failed");
        }
    }

    // A peer that receives no requests sends no reports. If it were excluded until its next report,
    // one failure would exclude it permanently.
    @Test
    @DisplayName("a peer that failed is tried again even without a report in the meantime")
    void failedPeerIsRetried() {
        CacheWarming<String> warming = fleet(LIMITS, START);
        warming.onPeerResult(1, 2, PeerResult.FAILED, START + 5 * SECONDS);
        warming.onPeerResult(1, 3, PeerResult.FAILED, START + 5 * SECONDS);
        long selections = 0;
        for (long at = START + 5 * SECONDS; at < START + 20 * SECONDS; at += 10 * MILLIS) {
            warming.onResponse(4, true, false, at);
            selections += warming.selectFillPeer(1, 1, 0, at) == 2 ? 1 : 0;
        }
        assertTrue(selections > 0);
    }

    // An overloaded cache may respond to health checks and report low load while it rejects or
    // times out every request.
    @Test
    @DisplayName("a peer that fails client requests is not selected, whatever it reports")
    void failingPeerWithGoodReports() {
        CacheWarming<String> warming = fleet(LIMITS, START);
        for (long at = START; at < START + 3 * SECONDS; at += 50 * MILLIS) {
            warming.onReport(2, report(0.2, 0.9, at));
            warming.onFailure(2, false, at);
            assertNotEquals(2, warming.selectFillPeer(1, 1, 0, at));
        }
    }

    @Test
    @DisplayName("peers without a recent report are selected at a low rate only")
    void silentPeers() {
        CacheWarming<String> warming = fleet(LIMITS, START);
        int selections = 0;
        for (long at = START + 10 * SECONDS; at < START + 15 * SECONDS; at += 10 * MILLIS) {
            selections += warming.selectFillPeer(1, 1, 0, at) != 0 ? 1 : 0;
        }
        assertTrue(selections <= 14, "no report for 10 s, peer selections: " + selections);
    }

    // All caches of the zone have restarted, so none of them holds any copies.
    @ParameterizedTest
    @CsvSource({"false, 0", "true, 77"})
    @DisplayName("peers of other zones are selected only where the settings allow it")
    void otherZones(boolean crossZone, long expected) {
        WarmingLimits limits =
                new WarmingLimits(crossZone, 0.5, 0, 1, 0.2, 10 * SECONDS, 2.5, 1500 * MILLIS);
        CacheWarming<String> warming = fleet(limits, START);
        warming.onEndpointList(
                List.of(cold(1, START), cold(2, START), new CacheEndpoint(77, 1, true, 0, 0)),
                START);
        long selected = 0;
        for (long at = START; at < START + 5 * SECONDS; at += 20 * MILLIS) {
            warming.onReport(77, report(0.1, 0.9, at));
            selected = Math.max(selected, warming.selectFillPeer(1, 1, 0, at));
        }
        assertEquals(expected, selected);
    }
}
