package brooklock.warming;

import static brooklock.warming.WarmingFixture.LIMITS;
import static brooklock.warming.WarmingFixture.MILLIS;
import static brooklock.warming.WarmingFixture.SECONDS;
import static brooklock.warming.WarmingFixture.cold;
import static brooklock.warming.WarmingFixture.fleet;
import static brooklock.warming.WarmingFixture.report;
import static brooklock.warming.WarmingFixture.warm;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brooklock.warming.CacheWarming.Prefetch;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

/** Tests which parts are prefetched at cache 1 after its start. */
class PrefetchTest {
    private static final long START = 100 * SECONDS;

    private static List<Prefetch<String>> prefetches(
            CacheWarming<String> warming, long from, long to) {
        List<Prefetch<String>> all = new ArrayList<>();
        for (long at = from; at < to; at += 50 * MILLIS) {
            for (int id = 1; id <= 5; id++) {
                warming.onReport(id, report(0.1, 0.9, at));
            }
            for (Prefetch<String> prefetch :
                    warming.nextPrefetches(at, (object, request) -> true)) {
                all.add(prefetch);
                warming.onPrefetchDone(prefetch, false, at + MILLIS);
            }
        }
        return all;
    }

    /** Records client requests for 500 objects, half of them three times each. */
    private static void requestObjects(CacheWarming<String> warming, long nowNs) {
        for (int object = 1; object <= 500; object++) {
            for (int times = 0; times < (object % 100 < 50 ? 3 : 1); times++) {
                warming.onRequest(object, 0, "o" + object, nowNs);
            }
        }
    }

    @Test
    @DisplayName("the hottest parts that belong to the cache by hash are prefetched once")
    void hottestOwnParts() {
        CacheWarming<String> warming = fleet(LIMITS, START);
        requestObjects(warming, START - SECONDS);
        List<Prefetch<String>> all = prefetches(warming, START, START + 8 * SECONDS);
        assertTrue(all.size() > 3, "prefetched " + all);
        Set<Long> objects = new HashSet<>();
        for (Prefetch<String> prefetch : all) {
            assertEquals(1, prefetch.endpointId());
            assertTrue(prefetch.object() % 100 <= 1, "owned by cache 1 by hash: " + prefetch);
            assertEquals("o" + prefetch.object(), prefetch.request());
            assertTrue(objects.add(prefetch.object()), "prefetched once: " + prefetch);
        }
    }

    // Prefetches and clients share the cache's link. A late hit shows that the link is overloaded.
    @Test
    @DisplayName("a late hit pauses prefetching, a late miss does not")
    void lateResponses() {
        CacheWarming<String> lateHit = fleet(LIMITS, START);
        requestObjects(lateHit, START - SECONDS);
        lateHit.onResponse(1, true, true, START);
        assertEquals(List.of(), prefetches(lateHit, START, START + SECONDS));
        CacheWarming<String> lateMiss = fleet(LIMITS, START);
        requestObjects(lateMiss, START - SECONDS);
        lateMiss.onResponse(1, false, true, START);
        lateMiss.onPartCached(1, 1, 0);
        List<Prefetch<String>> all = prefetches(lateMiss, START, START + 8 * SECONDS);
        assertFalse(all.isEmpty(), "only the fill source was late");
        assertTrue(
                all.stream().noneMatch(prefetch -> prefetch.object() == 1),
                "object 1 is already cached");
    }

    // A cache crashes again while it warms up, and restarts so quickly that the endpoint list does
    // not state the restart. Its copies are lost a second time.
    @Test
    @DisplayName("a cache with repeated connection failures counts as restarted")
    void secondCrash() {
        CacheWarming<String> warming = fleet(LIMITS, START);
        requestObjects(warming, START - SECONDS);
        Set<Long> before = new HashSet<>();
        prefetches(warming, START, START + 4 * SECONDS)
                .forEach(prefetch -> before.add(prefetch.object()));
        long crash = START + 5 * SECONDS;
        for (int i = 0; i < 3; i++) {
            warming.onFailure(1, true, crash + i * MILLIS);
        }
        warming.onEndpointList(
                List.of(cold(1, START), warm(2), warm(3), warm(4), warm(5)), crash + 10 * MILLIS);
        warming.onReport(1, new LoadReport(0.1, 1, 0.9, START + 4 * SECONDS, crash + 20 * MILLIS));
        assertEquals(
                List.of(),
                warming.nextPrefetches(crash + 30 * MILLIS, (object, request) -> true),
                "a report from before the crash is ignored");
        requestObjects(warming, crash);
        List<Prefetch<String>> again =
                prefetches(warming, crash + 50 * MILLIS, START + 13 * SECONDS);
        assertTrue(
                again.stream().anyMatch(prefetch -> before.contains(prefetch.object())),
                "copies lost in the crash are prefetched again: " + before + again);
    }
}
