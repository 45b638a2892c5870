package brooklock.warming;

import static brooklock.warming.WarmingFixture.MS;
import static brooklock.warming.WarmingFixture.S;
import static brooklock.warming.WarmingFixture.SCORE;
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
 * What up to 400 dispatchers, which share nothing, do together to one cache. A bound that holds for
 * each of them alone may be broken by their sum, most of all when they all begin at the same
 * moment.
 */
class SummedLoadPropertyTest {
    private static final long START = 100 * S;

    /** Times of the last requests, within a window. */
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
     * All prefetches at one cache that has just started; some reports are lost or implausible, the
     * others say "idle".
     */
    @Property(tries = 10, seed = "23")
    void prefetchesStayBelowWhatTheRouterLeaves(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 400) int dispatchers) {
        Random random = new Random(seed);
        double multiple = 1.5 + 2 * random.nextDouble();
        // Requests a second that each dispatcher sends each warm cache; very uneven.
        double[] rates = random.doubles(dispatchers).map(u -> 40 * u * u * u).toArray();
        double capacity = Arrays.stream(rates).sum();
        WarmingLimits limits =
                new WarmingLimits(
                        false,
                        0.2,
                        random.nextBoolean() ? capacity / 1e9 : 0,
                        dispatchers,
                        0.05 + 0.3 * random.nextDouble(),
                        (4 + random.nextInt(12)) * S,
                        multiple,
                        1500 * MS);
        // Clients ask from the start on, or all at once after dispatchers have long had nothing to
        // do.
        long requestsFrom =
                random.nextBoolean()
                        ? START
                        : START + (long) (random.nextDouble() * limits.warmUpNs());
        List<CacheWarming<String>> all = new ArrayList<>();
        for (int i = 0; i < dispatchers; i++) {
            all.add(busyDispatcher("d" + i, limits, rates[i], random));
        }
        SlidingWindow window = new SlidingWindow();
        double router = Math.min(1.3, 0.6 * multiple);
        for (long now = START; now < START + limits.warmUpNs(); now += 100 * MS) {
            for (CacheWarming<String> warming : all) {
                if (now >= requestsFrom && now < requestsFrom + 100 * MS) {
                    requestOwnObjectsOfCache1(warming, now);
                }
                reportIdleMostly(warming, now, random);
                for (Prefetch<String> prefetch :
                        warming.nextPrefetches(now, (object, request) -> true)) {
                    window.add(now);
                    warming.onPrefetchDone(prefetch, false, now);
                }
            }
            double left =
                    (multiple - router)
                            * limits.capacityAt(now - START)
                            * capacity
                            * limits.overloadWindowNs()
                            / 1e9;
            int prefetches = window.countSince(now - limits.overloadWindowNs());
            assertTrue(
                    prefetches <= left + 3,
                    prefetches
                            + " of "
                            + left
                            + " by "
                            + dispatchers
                            + " at "
                            + (now - START) / MS
                            + " ms");
        }
    }

    /** A dispatcher that has sent caches 1 to 3 requests for 20 s, before 1 restarts. */
    private static CacheWarming<String> busyDispatcher(
            String name, WarmingLimits limits, double rate, Random random) {
        long since = START - 20 * S;
        CacheWarming<String> warming = new CacheWarming<>(limits, SCORE, 0, name, since);
        warming.onEndpointList(List.of(warm(1), warm(2), warm(3)), since);
        for (double at = random.nextDouble() / rate; at < 20; at += 1 / (2 * rate)) {
            warming.onResponse(2 + random.nextInt(2), true, false, since + (long) (at * S));
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
                warming.onReport(id, new LoadReport(utilization, 0, 0.9, nowNs - MS, nowNs));
            }
        }
    }

    /** All fills from one peer that reports, stuck, that it is idle. */
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
                        10 * S,
                        2.5,
                        1500 * MS);
        List<CacheWarming<String>> all = new ArrayList<>();
        for (int i = 0; i < dispatchers; i++) {
            long since = START - 20 * S;
            CacheWarming<String> warming = new CacheWarming<>(limits, SCORE, 0, "d" + i, since);
            warming.onEndpointList(List.of(warm(1), warm(2)), since);
            warming.onEndpointList(List.of(cold(1, START), warm(2)), START);
            all.add(warming);
        }
        SlidingWindow window = new SlidingWindow();
        int asked = 0;
        // What a window permits, and what was permitted just before it.
        double max =
                limits.peerShare()
                        * capacity
                        * (limits.overloadWindowNs() + limits.permitLifetimeNs())
                        / 1e9;
        for (long now = START; now < START + 8 * S; now += 50 * MS) {
            for (CacheWarming<String> warming : all) {
                warming.onReport(2, report(0, 0.9, now));
                // Misses come at random, and sometimes at all dispatchers together.
                if (now % S == 0 || random.nextInt(10) == 0) {
                    long peer = warming.selectFillPeer(1, 1, 0, now);
                    if (peer != 0 && random.nextInt(4) == 0) {
                        warming.onPeerUnused(peer);
                    } else if (peer != 0) {
                        window.add(now);
                        asked++;
                    }
                }
            }
            int fills = window.countSince(now - limits.overloadWindowNs() + 1);
            assertTrue(fills <= 1.3 * max + 3, fills + " of " + max + " by " + dispatchers);
        }
        assertTrue(asked > 0.02 * limits.peerShare() * capacity, "asked " + asked);
    }
}
