package brooklock.warming;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brooklock.warming.CacheWarming.CacheEndpoint;
import brooklock.warming.CacheWarming.PeerResult;
import brooklock.warming.CacheWarming.Prefetch;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class CacheWarmingTest {
    private static final long MS = 1_000_000L;
    private static final long S = 1000 * MS;
    private static final WarmingLimits LAW =
            new WarmingLimits(false, 0.2, 0, 1, 0.2, 10 * S, 2.5, 1500 * MS);
    // The nearest by number, so that tests can be read.
    private static final CacheWarming.EndpointScore ORDER =
            (object, part, host) -> -Math.abs(object % 100 - host);

    private static CacheEndpoint warm(long host) {
        return new CacheEndpoint(host, 0, true, 0, 0);
    }

    private static CacheEndpoint cold(long host, long started) {
        return new CacheEndpoint(host, 0, true, started, started / MS);
    }

    private static LoadReport report(double util, double hits, long now) {
        return new LoadReport(util, 3, hits, now - MS, now);
    }

    /**
     * Caches 1 to 5, of which 1 is cold since 100 s; the others have been asked much by this one
     * and say they have room.
     */
    private static CacheWarming<String> fleet(WarmingLimits law, long now) {
        CacheWarming<String> w = new CacheWarming<>(law, ORDER, 0, "d1", now - 20 * S);
        w.onEndpointList(List.of(warm(1), warm(2), warm(3), warm(4), warm(5)), now - 20 * S);
        for (int i = 0; i < 20_000; i++) {
            long at = now - 20 * S + i * MS;
            w.onResponse(2 + i % 4, true, false, at);
            if (i % 100 == 0) {
                for (int h = 2; h <= 5; h++) {
                    w.onReport(h, report(0.2, 0.9, at));
                }
            }
        }
        w.onEndpointList(List.of(cold(1, now), warm(2), warm(3), warm(4), warm(5)), now);
        return w;
    }

    private static long first(CacheWarming<String> w, long object, long from, long to) {
        for (long now = from; now < to; now += 10 * MS) {
            long n = w.selectFillPeer(1, object, 0, now);
            if (n != 0) {
                return n;
            }
        }
        return 0;
    }

    @Test
    void aMissAtAColdCacheIsFilledFromTheOneThatHeldItByHashWhileThatHasRoom() {
        long now = 100 * S;
        CacheWarming<String> w = fleet(LAW, now);
        assertEquals(2, first(w, 1, now, now + 3 * S), "the next to 1 by hash");
        assertEquals(0, w.selectFillPeer(2, 1, 0, now), "a warm cache needs none");
        int asked = 0;
        for (long at = now + 3 * S; at < now + 6 * S; at += 5 * MS) {
            w.onReport(2, report(0.2, 0.9, at));
            asked += w.selectFillPeer(1, 1, 0, at) == 2 ? 1 : 0;
        }
        // A fifth of the 250 a second that it is sent, at most.
        assertTrue(asked > 3 && asked <= 150, "asked " + asked);
        w.onReport(2, report(0.95, 0.9, now + 6 * S));
        assertNotEquals(
                2, first(w, 1, now + 6 * S, now + 6 * S + 900 * MS), "its own clients need it");
    }

    @Test
    void aNeighbourThatDrainsIsGoneColdSilentOrFailsIsNotNamed() {
        long now = 100 * S;
        CacheWarming<String> w = fleet(LAW, now);
        w.onEndpointList(
                List.of(
                        cold(1, now),
                        new CacheEndpoint(2, 0, false, 0, 0),
                        cold(3, now - S),
                        warm(5)),
                now);
        w.onReport(5, report(0.2, 0.9, now));
        assertEquals(5, first(w, 1, now, now + 3 * S), "2 drains, 3 is cold, 4 is gone");
        w.onPeerResult(1, 5, PeerResult.FAILED, now + 3 * S);
        for (long at = now + 3 * S; at < now + 4 * S; at += 50 * MS) {
            w.onReport(5, report(0.2, 0.9, at));
            assertEquals(0, w.selectFillPeer(1, 1, 0, at), "it failed just now");
        }
        CacheWarming<String> failedOnce = fleet(LAW, now);
        failedOnce.onPeerResult(1, 2, PeerResult.FAILED, now + 5 * S);
        failedOnce.onPeerResult(1, 3, PeerResult.FAILED, now + 5 * S);
        long asked2 = 0;
        for (long at = now + 5 * S; at < now + 20 * S; at += 10 * MS) {
            // Nobody tells anything by itself, but this one has clients whose pace is known.
            failedOnce.onResponse(4, true, false, at);
            asked2 += failedOnce.selectFillPeer(1, 1, 0, at) == 2 ? 1 : 0;
        }
        assertTrue(
                asked2 > 0, "a failure is not for good, though it tells nothing until it is asked");
        CacheWarming<String> ailing = fleet(LAW, now);
        for (long at = now; at < now + 3 * S; at += 50 * MS) {
            ailing.onReport(2, report(0.2, 0.9, at));
            ailing.onFailure(2, false, at);
            assertNotEquals(
                    2,
                    ailing.selectFillPeer(1, 1, 0, at),
                    "it says that it is well and answers nobody");
        }
        CacheWarming<String> silent = fleet(LAW, now);
        int asked = 0;
        for (long at = now + 10 * S; at < now + 15 * S; at += 10 * MS) {
            asked += silent.selectFillPeer(1, 1, 0, at) != 0 ? 1 : 0;
        }
        assertTrue(
                asked <= 14,
                "nobody has told anything for ten seconds: a trickle at most, " + asked);
    }

    @Test
    void whereAllOfAnOfficeIsColdOnlyTheSettingsLetOthersGive() {
        long now = 100 * S;
        for (boolean any : new boolean[] {false, true}) {
            WarmingLimits law = new WarmingLimits(any, 0.5, 0, 1, 0.2, 10 * S, 2.5, 1500 * MS);
            CacheWarming<String> w = fleet(law, now);
            w.onEndpointList(
                    List.of(cold(1, now), cold(2, now), new CacheEndpoint(77, 1, true, 0, 0)), now);
            long named = 0;
            for (long at = now; at < now + 5 * S; at += 20 * MS) {
                w.onReport(77, report(0.1, 0.9, at));
                named = Math.max(named, w.selectFillPeer(1, 1, 0, at));
            }
            assertEquals(any ? 77 : 0, named);
        }
    }

    @Test
    void aRampIsCutByCrowdingAtOnceGrowsByStepsAndBelievesNoNonsense() {
        SlowStartRamp r = new SlowStartRamp(100 * S, 100 * S);
        assertEquals(1, r.share(100 * S));
        r.onReport(new LoadReport(0.99, 9, 0.5, 99 * S, 101 * S));
        assertEquals(1, r.share(101 * S), "said before its start");
        r.onReport(new LoadReport(Double.NaN, 9, 0.5, 101 * S, 101 * S));
        r.onReport(new LoadReport(-1, 9, 0.5, 101 * S, 101 * S));
        assertEquals(1, r.share(101 * S), "cannot be");
        r.onReport(report(0.95, 0.5, 102 * S));
        r.onReport(report(0.95, 0.5, 102 * S + 10 * MS));
        assertEquals(0.5, r.share(102 * S + 10 * MS), "one crowding is one cut");
        for (int i = 1; i < 20; i++) {
            r.onOverload(102 * S + i * 300 * MS);
        }
        assertEquals(SlowStartRamp.MIN_SHARE, r.share(108 * S));
        double before = SlowStartRamp.MIN_SHARE;
        for (long at = 108 * S; at < 112 * S; at += 100 * MS) {
            r.onReport(report(0.3 + at % (7 * MS) / 1e9, 0.5, at));
            assertTrue(r.share(at) - before <= 0.11, "by steps");
            before = r.share(at);
        }
        assertTrue(before > 0.7, "grown to " + before);
        SlowStartRamp frozen = new SlowStartRamp(0, 100 * S);
        for (int i = 0; i < 200; i++) {
            frozen.onReport(
                    new LoadReport(
                            1, i % 5, 0.5, 100 * S + i * 300 * MS - MS, 100 * S + i * 300 * MS));
        }
        assertEquals(
                1,
                frozen.share(200 * S),
                "a figure that stands still is none: the module's budget alone");
    }

    private static List<Prefetch<String>> ahead(CacheWarming<String> w, long from, long to) {
        List<Prefetch<String>> all = new ArrayList<>();
        for (long at = from; at < to; at += 50 * MS) {
            for (int h = 1; h <= 5; h++) {
                w.onReport(h, report(0.1, 0.9, at));
            }
            for (Prefetch<String> f : w.nextPrefetches(at, (o, how) -> true)) {
                all.add(f);
                w.onPrefetchDone(f, false, at + MS);
            }
        }
        return all;
    }

    private static void ask(CacheWarming<String> w, long now) {
        for (int o = 1; o <= 500; o++) {
            for (int times = 0; times < (o % 100 < 50 ? 3 : 1); times++) {
                w.onRequest(o, 0, "o" + o, now);
            }
        }
    }

    @Test
    void theHottestThatBelongToTheColdCacheAreFetchedOnceUntilItsHitsComeLate() {
        long now = 100 * S;
        CacheWarming<String> w = fleet(LAW, now);
        ask(w, now - S);
        List<Prefetch<String>> all = ahead(w, now, now + 8 * S);
        assertTrue(all.size() > 3, "fetched " + all);
        Set<Long> once = new HashSet<>();
        for (Prefetch<String> f : all) {
            assertEquals(1, f.endpointId());
            assertTrue(f.object() % 100 <= 1, "its own by hash: " + f);
            assertEquals("o" + f.object(), f.request());
            assertTrue(once.add(f.object()), "once: " + f);
        }
        CacheWarming<String> late = fleet(LAW, now);
        ask(late, now - S);
        late.onResponse(1, true, true, now);
        assertEquals(List.of(), ahead(late, now, now + S), "the first sign of lateness stops it");
        CacheWarming<String> filled = fleet(LAW, now);
        ask(filled, now - S);
        filled.onResponse(1, false, true, now);
        filled.onFilled(1, 1, 0);
        List<Prefetch<String>> others = ahead(filled, now, now + 8 * S);
        assertTrue(
                !others.isEmpty() && others.stream().noneMatch(f -> f.object() == 1),
                "a source was late, and 1 is there");
    }

    @Test
    void aCacheThatDiesAgainHalfwayIsColdAnewThoughTheListSaysReadyAllAlong() {
        long now = 100 * S;
        CacheWarming<String> w = fleet(LAW, now);
        ask(w, now - S);
        Set<Long> before = new HashSet<>();
        ahead(w, now, now + 4 * S).forEach(f -> before.add(f.object()));
        for (int i = 0; i < 3; i++) {
            w.onFailure(1, true, now + 5 * S + i * MS);
        }
        w.onEndpointList(
                List.of(cold(1, now), warm(2), warm(3), warm(4), warm(5)), now + 5 * S + 10 * MS);
        w.onReport(1, new LoadReport(0.1, 1, 0.9, now + 4 * S, now + 5 * S + 20 * MS));
        assertEquals(
                List.of(),
                w.nextPrefetches(now + 5 * S + 30 * MS, (o, how) -> true),
                "what it said before it died is nothing");
        ask(w, now + 5 * S);
        List<Prefetch<String>> again = ahead(w, now + 5 * S + 50 * MS, now + 13 * S);
        assertTrue(
                again.stream().anyMatch(f -> before.contains(f.object())),
                "its copies are gone: " + before + again);
    }

    @Test
    void aSnapshotIsWorthWhatItsAgeLeavesAndNothingForACacheThatHasStartedSince() {
        long now = 100 * S;
        CacheWarming<String> w = fleet(LAW, now);
        w.onReport(1, report(0.95, 0.1, now + S));
        assertEquals(0.5, w.changedShares(now + S).get(1L));
        List<CacheWarming.SnapshotEntry> saved = w.snapshot(now + S);
        for (long[] c : new long[][] {{2, 55}, {10, 75}, {40, 100}}) {
            CacheWarming<String> again = fleet(LAW, now);
            again.restore(saved, c[0] * S, now + S);
            assertEquals(
                    c[1] / 100.0,
                    again.changedShares(now + S).getOrDefault(1L, 1.0),
                    0.01,
                    "age " + c[0]);
        }
        CacheWarming<String> since = fleet(LAW, now);
        since.onEndpointList(List.of(cold(1, now + S / 2), warm(2)), now + S);
        since.restore(saved, S, now + S);
        assertEquals(1, since.loadShare(1));
        assertTrue(since.changedShares(now + S).isEmpty());
    }

    /** What reaches one cold cache from many dispatchers, booked as a stand-in books it. */
    @Property(tries = 10, seed = "23")
    void theSumOfAllThatIsFetchedAheadStaysUnderWhatTheModuleLeaves(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 400) int dispatchers) {
        Random r = new Random(seed);
        double multiple = 1.5 + 2 * r.nextDouble();
        long start = 100 * S;
        List<CacheWarming<String>> all = new ArrayList<>();
        // Requests a second that each sends each warm cache, uneven; all together what it bears,
        // which is stated or not.
        double[] rates = r.doubles(dispatchers).map(u -> 40 * u * u * u).toArray();
        double capacity = Arrays.stream(rates).sum();
        WarmingLimits law =
                new WarmingLimits(
                        false,
                        0.2,
                        r.nextBoolean() ? capacity / 1e9 : 0,
                        dispatchers,
                        0.05 + 0.3 * r.nextDouble(),
                        (4 + r.nextInt(12)) * S,
                        multiple,
                        1500 * MS);
        // Something to fetch from the start on, or for all at once when all have long had nothing
        // to do.
        long wanted = r.nextBoolean() ? start : start + (long) (r.nextDouble() * law.warmUpNs());
        for (int i = 0; i < dispatchers; i++) {
            double rate = rates[i];
            CacheWarming<String> w = new CacheWarming<>(law, ORDER, 0, "d" + i, start - 20 * S);
            w.onEndpointList(List.of(warm(1), warm(2), warm(3)), start - 20 * S);
            for (double at = r.nextDouble() / rate; at < 20; at += 1 / (2 * rate)) {
                w.onResponse(2 + r.nextInt(2), true, false, start - 20 * S + (long) (at * S));
            }
            w.onEndpointList(List.of(cold(1, start), warm(2), warm(3)), start);
            all.add(w);
        }
        ArrayDeque<Long> window = new ArrayDeque<>();
        double module = Math.min(1.3, 0.6 * multiple);
        for (long now = start; now < start + law.warmUpNs(); now += 100 * MS) {
            for (CacheWarming<String> w : all) {
                for (int o = 0; o < 40 && now >= wanted && now < wanted + 100 * MS; o++) {
                    w.onRequest(o * 100 + 1, 0, "", now);
                    w.onRequest(o * 100 + 1, 0, "", now);
                }
                for (int h = 1; h <= 3; h++) {
                    // Some are lost, some nonsense; the most dangerous ones say that there is all
                    // the room in the world.
                    int kind = r.nextInt(10);
                    if (kind > 1) {
                        w.onReport(h, new LoadReport(kind == 2 ? -3 : 0, 0, 0.9, now - MS, now));
                    }
                }
                for (Prefetch<String> f : w.nextPrefetches(now, (o, how) -> true)) {
                    window.add(now);
                    w.onPrefetchDone(f, false, now);
                }
            }
            while (!window.isEmpty() && now - window.peekFirst() > law.overloadWindowNs()) {
                window.pollFirst();
            }
            double warmth = law.capacityAt(now - start);
            double left = (multiple - module) * warmth * capacity * law.overloadWindowNs() / 1e9;
            assertTrue(
                    window.size() <= left + 3,
                    window.size()
                            + " of "
                            + left
                            + " by "
                            + dispatchers
                            + " at "
                            + (now - start) / MS
                            + " ms");
        }
    }

    /**
     * What many dispatchers together ask of one neighbour that says, frozen, that it has all the
     * room in the world.
     */
    @Property(tries = 10, seed = "29")
    void theSumOfAllThatIsAskedOfANeighbourStaysUnderItsStatedShare(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 400) int dispatchers) {
        Random r = new Random(seed);
        double bears = 20 + 300 * r.nextDouble();
        WarmingLimits law =
                new WarmingLimits(
                        false,
                        0.1 + 0.9 * r.nextDouble(),
                        bears / 1e9,
                        dispatchers,
                        0.2,
                        10 * S,
                        2.5,
                        1500 * MS);
        long start = 100 * S;
        List<CacheWarming<String>> all = new ArrayList<>();
        for (int i = 0; i < dispatchers; i++) {
            CacheWarming<String> w = new CacheWarming<>(law, ORDER, 0, "d" + i, start - 20 * S);
            w.onEndpointList(List.of(warm(1), warm(2)), start - 20 * S);
            w.onEndpointList(List.of(cold(1, start), warm(2)), start);
            all.add(w);
        }
        ArrayDeque<Long> window = new ArrayDeque<>();
        int asked = 0;
        for (long now = start; now < start + 8 * S; now += 50 * MS) {
            for (CacheWarming<String> w : all) {
                w.onReport(2, report(0, 0.9, now));
                // Misses come where they will, all together at times.
                if (now % S == 0 || r.nextInt(10) == 0) {
                    long from = w.selectFillPeer(1, 1, 0, now);
                    if (from != 0 && r.nextInt(4) == 0) {
                        w.onPeerUnused(from);
                    } else if (from != 0) {
                        window.add(now);
                        asked++;
                    }
                }
            }
            while (!window.isEmpty() && now - window.peekFirst() >= law.overloadWindowNs()) {
                window.pollFirst();
            }
            // Within a span: what the span permits, and what was permitted just before it.
            double most =
                    law.peerShare()
                            * bears
                            * (law.overloadWindowNs() + law.permitLifetimeNs())
                            / 1e9;
            assertTrue(
                    window.size() <= 1.3 * most + 3,
                    window.size() + " of " + most + " by " + dispatchers);
        }
        assertTrue(asked > 0.02 * law.peerShare() * bears, "asked " + asked);
    }
}
