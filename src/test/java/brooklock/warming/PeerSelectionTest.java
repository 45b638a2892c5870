package brooklock.warming;

import static brooklock.warming.WarmingFixture.LIMITS;
import static brooklock.warming.WarmingFixture.MS;
import static brooklock.warming.WarmingFixture.S;
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
 * Which peer a miss at a cache that has just started is filled from. Object 1 belongs to cache 1,
 * and to cache 2 while 1 is away.
 */
class PeerSelectionTest {
    private static final long START = 100 * S;

    /** The first peer that is selected for object 1 at cache 1 within a time, or 0. */
    private static long firstPeer(CacheWarming<String> warming, long from, long to) {
        for (long now = from; now < to; now += 10 * MS) {
            long peer = warming.selectFillPeer(1, 1, 0, now);
            if (peer != 0) {
                return peer;
            }
        }
        return 0;
    }

    // A cache restarts without its copies. Its misses all at once would overload the parent; the
    // peer that took over its parts holds them, but must keep its capacity for its own clients.
    @Test
    @DisplayName("a miss is filled from the peer that took over, while that has capacity")
    void nearestPeerWithCapacity() {
        CacheWarming<String> warming = fleet(LIMITS, START);
        assertEquals(2, firstPeer(warming, START, START + 3 * S), "the next to 1 by hash");
        assertEquals(0, warming.selectFillPeer(2, 1, 0, START), "a warm cache needs none");
        int asked = 0;
        for (long at = START + 3 * S; at < START + 6 * S; at += 5 * MS) {
            warming.onReport(2, report(0.2, 0.9, at));
            asked += warming.selectFillPeer(1, 1, 0, at) == 2 ? 1 : 0;
        }
        // At most a fifth of the 250 requests a second that this dispatcher sends it.
        assertTrue(asked > 3 && asked <= 150, "asked " + asked);
        warming.onReport(2, report(0.95, 0.9, START + 6 * S));
        assertNotEquals(
                2,
                firstPeer(warming, START + 6 * S, START + 6 * S + 900 * MS),
                "its own clients need it");
    }

    @Test
    @DisplayName("a peer that drains, is gone, or has just started itself is not selected")
    void ineligiblePeers() {
        CacheWarming<String> warming = fleet(LIMITS, START);
        warming.onEndpointList(
                List.of(
                        cold(1, START),
                        new CacheEndpoint(2, 0, false, 0, 0),
                        cold(3, START - S),
                        warm(5)),
                START);
        warming.onReport(5, report(0.2, 0.9, START));
        assertEquals(
                5,
                firstPeer(warming, START, START + 3 * S),
                "2 drains, 3 has just started, 4 is gone");
        warming.onPeerResult(1, 5, PeerResult.FAILED, START + 3 * S);
        for (long at = START + 3 * S; at < START + 4 * S; at += 50 * MS) {
            warming.onReport(5, report(0.2, 0.9, at));
            assertEquals(0, warming.selectFillPeer(1, 1, 0, at), "it has just failed");
        }
    }

    // A peer that is asked for nothing reports nothing. If it were excluded until its next report,
    // one failure would exclude it for good.
    @Test
    @DisplayName("a peer that failed is tried again though it reports nothing meanwhile")
    void failedPeerComesBack() {
        CacheWarming<String> warming = fleet(LIMITS, START);
        warming.onPeerResult(1, 2, PeerResult.FAILED, START + 5 * S);
        warming.onPeerResult(1, 3, PeerResult.FAILED, START + 5 * S);
        long asked = 0;
        for (long at = START + 5 * S; at < START + 20 * S; at += 10 * MS) {
            warming.onResponse(4, true, false, at);
            asked += warming.selectFillPeer(1, 1, 0, at) == 2 ? 1 : 0;
        }
        assertTrue(asked > 0);
    }

    // An overloaded cache answers health checks and reports low load, but rejects or times out
    // every request.
    @Test
    @DisplayName("a peer that fails its clients is not selected, whatever it reports")
    void failingPeerWithGoodReports() {
        CacheWarming<String> warming = fleet(LIMITS, START);
        for (long at = START; at < START + 3 * S; at += 50 * MS) {
            warming.onReport(2, report(0.2, 0.9, at));
            warming.onFailure(2, false, at);
            assertNotEquals(2, warming.selectFillPeer(1, 1, 0, at));
        }
    }

    @Test
    @DisplayName("peers that report nothing get a trickle at most")
    void silentPeers() {
        CacheWarming<String> warming = fleet(LIMITS, START);
        int asked = 0;
        for (long at = START + 10 * S; at < START + 15 * S; at += 10 * MS) {
            asked += warming.selectFillPeer(1, 1, 0, at) != 0 ? 1 : 0;
        }
        assertTrue(asked <= 14, "no report for ten seconds, asked " + asked);
    }

    // A whole zone has restarted, so no cache of it holds anything.
    @ParameterizedTest
    @CsvSource({"false, 0", "true, 77"})
    @DisplayName("peers of other zones are selected only where the settings allow it")
    void otherZones(boolean crossZone, long expected) {
        WarmingLimits limits = new WarmingLimits(crossZone, 0.5, 0, 1, 0.2, 10 * S, 2.5, 1500 * MS);
        CacheWarming<String> warming = fleet(limits, START);
        warming.onEndpointList(
                List.of(cold(1, START), cold(2, START), new CacheEndpoint(77, 1, true, 0, 0)),
                START);
        long selected = 0;
        for (long at = START; at < START + 5 * S; at += 20 * MS) {
            warming.onReport(77, report(0.1, 0.9, at));
            selected = Math.max(selected, warming.selectFillPeer(1, 1, 0, at));
        }
        assertEquals(expected, selected);
    }
}
