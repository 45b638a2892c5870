package brooklock.warming;

import static brooklock.warming.WarmingFixture.MILLIS;
import static brooklock.warming.WarmingFixture.SCORE;
import static brooklock.warming.WarmingFixture.SECONDS;
import static brooklock.warming.WarmingFixture.cold;
import static brooklock.warming.WarmingFixture.report;
import static brooklock.warming.WarmingFixture.warm;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brooklock.warming.CacheWarming.Prefetch;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/**
 * Tests the load that up to 400 dispatchers, which share no state, together put on one cache. Even
 * if each dispatcher respects its own bound, the sum of their loads may exceed the total bound,
 * especially when all of them start at the same moment.
 */
class SummedLoadPropertyTest {
    private static final long START = 100 * SECONDS;

    /** Counts the requests within a sliding window of time. */
    private static final class SlidingWindow {
        private final ArrayDeque<Long> times = new ArrayDeque<>();

        void add(long nowNs) {
            times.add(nowNs);
        }

        int countSince(long oldestNs) {
            while (!times.isEmpty() && times.peekFirst() < oldestNs) {
                times.pollFirst();
            }
            return times.size();
        }
    }

    /**
     * Checks the sum of all prefetches at one recently started cache. Some reports are lost or
     * implausible; the others report no load.
     */
    @Property(tries = 10, seed = "23")
    void prefetchesStayWithinTheRemainingCapacity(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 400) int dispatchers) {
        Random random = new Random(seed);
        double multiple = 1.5 + 2 * random.nextDouble();
        // Requests per second that each dispatcher sends to each warm cache, unevenly distributed.
        double[] rates =
                random.doubles(dispatchers)
                        .map(uniform -> 40 * uniform * uniform * uniform)
                        .toArray();
        double capacity = Arrays.stream(rates).sum();
        WarmingLimits limits =
                new WarmingLimits(
                        false,
                        0.2,
                        random.nextBoolean() ? capacity / 1e9 : 0,
                        dispatchers,
                        0.05 + 0.3 * random.nextDouble(),
                        (4 + random.nextInt(12)) * SECONDS,
                        multiple,
                        1500 * MILLIS);
        // Clients send requests from the start, or all clients begin at the same moment after the
        // dispatchers have been idle for some time.
        long requestsFrom =
                random.nextBoolean()
                        ? START
                        : START + (long) (random.nextDouble() * limits.warmUpNs());
        List<CacheWarming<String>> all = new ArrayList<>();
        for (int i = 0; i < dispatchers; i++) {
            all.add(busyDispatcher("d" + i, limits, rates[i], random));
        }
        SlidingWindow window = new SlidingWindow();
        double plannedMultiple = Math.min(1.3, 0.6 * multiple);
        for (long now = START; now < START + limits.warmUpNs(); now += 100 * MILLIS) {
            for (CacheWarming<String> warming : all) {
                if (now >= requestsFrom && now < requestsFrom + 100 * MILLIS) {
                    requestOwnObjectsOfCache1(warming, now);
                }
                reportIdleMostly(warming, now, random);
                for (Prefetch<String> prefetch :
                        warming.nextPrefetches(now, (object, request) -> true)) {
                    window.add(now);
                    warming.onPrefetchDone(prefetch, false, now);
                }
            }
            double remaining =
                    (multiple - plannedMultiple)
                            * limits.capacityAt(now - START)
                            * capacity
                            * limits.overloadWindowNs()
                            / 1e9;
            int prefetches = window.countSince(now - limits.overloadWindowNs());
            assertTrue(
                    prefetches <= remaining + 3,
                    prefetches
                            + " prefetches exceed the remaining capacity for "
                            + remaining
                            + " with "
                            + dispatchers
                            + " dispatchers at "
                            + (now - START) / MILLIS
                            + " ms");
        }
    }

    /**
     * Returns a dispatcher that has sent requests to the warm caches for 20 s before cache 1
     * starts.
     */
    private static CacheWarming<String> busyDispatcher(
            String name, WarmingLimits limits, double rate, Random random) {
        long since = START - 20 * SECONDS;
        CacheWarming<String> warming = new CacheWarming<>(limits, SCORE, 0, name, since);
        warming.onEndpointList(List.of(warm(1), warm(2), warm(3)), since);
        for (double at = random.nextDouble() / rate; at < 20; at += 1 / (2 * rate)) {
            warming.onResponse(2 + random.nextInt(2), true, false, since + (long) (at * SECONDS));
        }
        warming.onEndpointList(List.of(cold(1, START), warm(2), warm(3)), START);
        return warming;
    }

    private static void requestOwnObjectsOfCache1(CacheWarming<String> warming, long nowNs) {
        for (int i = 0; i < 40; i++) {
            warming.onRequest(i * 100 + 1, 0, "", nowNs);
            warming.onRequest(i * 100 + 1, 0, "", nowNs);
        }
    }

    private static void reportIdleMostly(CacheWarming<String> warming, long nowNs, Random random) {
        for (int id = 1; id <= 3; id++) {
            int kind = random.nextInt(10);
            if (kind > 1) {
                double utilization = kind == 2 ? -3 : 0;
                warming.onReport(id, new LoadReport(utilization, 0, 0.9, nowNs - MILLIS, nowNs));
            }
        }
    }

    /** Checks the sum of all fills from one peer that always reports no load. */
    @Property(tries = 10, seed = "29")
    void fillsFromAPeerStayBelowItsShare(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 400) int dispatchers) {
        Random random = new Random(seed);
        double capacity = 20 + 300 * random.nextDouble();
        WarmingLimits limits =
                new WarmingLimits(
                        false,
                        0.1 + 0.9 * random.nextDouble(),
                        capacity / 1e9,
                        dispatchers,
                        0.2,
                        10 * SECONDS,
                        2.5,
                        1500 * MILLIS);
        List<CacheWarming<String>> all = new ArrayList<>();
        for (int i = 0; i < dispatchers; i++) {
            long since = START - 20 * SECONDS;
            CacheWarming<String> warming = new CacheWarming<>(limits, SCORE, 0, "d" + i, since);
            warming.onEndpointList(List.of(warm(1), warm(2)), since);
            warming.onEndpointList(List.of(cold(1, START), warm(2)), START);
            all.add(warming);
        }
        SlidingWindow window = new SlidingWindow();
        int requested = 0;
        // The permits of one window, and those issued within a permit lifetime before it.
        double max =
                limits.peerShare()
                        * capacity
                        * (limits.overloadWindowNs() + limits.permitLifetimeNs())
                        / 1e9;
        for (long now = START; now < START + 8 * SECONDS; now += 50 * MILLIS) {
            for (CacheWarming<String> warming : all) {
                warming.onReport(2, report(0, 0.9, now));
                // Misses occur at random, and periodically at all dispatchers at once.
                if (now % SECONDS == 0 || random.nextInt(10) == 0) {
                    long peer = warming.selectFillPeer(1, 1, 0, now);
                    if (peer != 0 && random.nextInt(4) == 0) {
                        warming.onPeerUnused(peer);
                    } else if (peer != 0) {
                        window.add(now);
                        requested++;
                    }
                }
            }
            int fills = window.countSince(now - limits.overloadWindowNs() + 1);
            assertTrue(
                    fills <= 1.3 * max + 3,
                    fills + " fills exceed the limit of " + max + "; dispatchers: " + dispatchers);
        }
        assertTrue(requested > 0.02 * limits.peerShare() * capacity, "requested " + requested);
    }
}
