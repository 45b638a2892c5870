package brooklock.warming;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiPredicate;

/**
 * Brings cold caches up to their full share. It is told what the dispatcher sees and says three
 * things: how large a share a cold cache is to have, which neighbour a miss there is filled from
 * first, and what is to be fetched ahead. Deterministic, bounded, without a clock; for one thread.
 *
 * @param <T> what the dispatcher needs to ask for a part by itself
 */
public final class CacheWarming<T> {
    // A cache's copies are not back when its link is: so long after its start a neighbour is asked
    // first, unless its
    // own hits are back before.
    private static final long REFILL_NS = 120_000_000_000L;
    // Share of its neighbours' share of hits at which a cache has its copies back.
    private static final double REFILLED_FRACTION = 0.9;
    // Parts looked at for fetching ahead in one go, and time until the list of the hottest is made
    // anew.
    private static final int MAX_PARTS_EXAMINED = 64;
    // Of those that belong to one cold cache, the hottest kept at hand.
    private static final int MAX_QUEUED_PARTS = 256;
    // Parts in a row that cannot be fetched now, and are passed over.
    private static final int MAX_PARTS_SKIPPED = 8;
    // Neighbours of the own location are asked first while they give at least this part as often as
    // those elsewhere.
    private static final double SAME_ZONE_PREFERENCE = 0.5;
    private static final long HOT_PARTS_REFRESH_NS = 1_000_000_000L;
    // Connections broken one after the other from which a cache is taken for dead and back, as the
    // module does.
    private static final int MAX_CONNECTION_FAILURES = 3;
    // How often what holds for all caches is reckoned anew.
    private static final long SUMMARY_INTERVAL_NS = 100_000_000L;
    // Most parts remembered as there at one cache.
    private static final int MAX_CACHED_PARTS = 20_000;

    /**
     * Weight of a cache for a part, as the module hashes: the same order, or neighbours would be
     * asked in vain.
     */
    public interface EndpointScore {
        /** Greater is nearer. */
        double score(long object, int part, long host);
    }

    /**
     * A cache of the list.
     *
     * @param startedNs its last start by the clock of all calls here; 0 for long ago
     * @param startedMs the same as it is told, which stays through a restart of this dispatcher
     */
    public record CacheEndpoint(
            long endpointId, int zone, boolean ready, long startedNs, long startedMs) {}

    /** One part to fetch at a cold cache, from one that surely holds it or not at all. */
    public record Prefetch<T>(long endpointId, long sourceId, long object, int part, T request) {}

    /** How the asking of a neighbour came out. */
    public enum PeerResult {
        FILLED,
        MISSED,
        FAILED
    }

    private static final class CacheState {
        CacheEndpoint cache;
        // Its last start: as the list has it, or as its broken connections tell, whichever is
        // later.
        long startedNs;
        int connectionFailures;
        SlowStartRamp ramp;
        PrefetchBudget prefetchBudget;
        PeerLoadLimit loadLimit;
        double hitRatio = -1;
        // What was fetched there or filled since its start.
        Set<HotParts.PartKey> cachedParts = new HashSet<>();
        final HitRatio sameZoneFills = new HitRatio();
        final HitRatio otherZoneFills = new HitRatio();
        double announcedShare = 1;
    }

    /** How often neighbours of a kind held what was asked of them lately. */
    private static final class HitRatio {
        final DecayingRate requests = new DecayingRate();
        final DecayingRate hits = new DecayingRate();

        void recordOutcome(boolean well, long now) {
            requests.add(1, now);
            hits.add(well ? 1 : 0, now);
        }

        // By Laplace's rule: a half before anything is known.
        double estimate(long now) {
            return (hits.sum(now) + 1) / (requests.sum(now) + 2);
        }
    }

    private final WarmingLimits limits;
    private final EndpointScore endpointScore;
    private final int zone;
    private final String name;
    private final HotParts<T> hotParts;
    private final DecayingRate warmCacheRate = new DecayingRate();
    private final TreeMap<Long, CacheState> caches = new TreeMap<>();
    private List<HotParts.HotPart<T>> hottest = List.of();
    private long hottestRefreshNs;
    private int nextHottest;
    private int listVersion;
    private final Map<CacheState, ArrayDeque<HotParts.HotPart<T>>> queues = new LinkedHashMap<>();
    private final Map<Integer, Double> hitRatioByZone = new HashMap<>();
    private int warmCacheCount;
    private long summaryDueNs;

    /**
     * With nothing known.
     *
     * @param zone the own location
     * @param name this dispatcher's name: what it draws by it, others draw otherwise
     */
    public CacheWarming(WarmingLimits law, EndpointScore order, int zone, String name, long now) {
        this.limits = law;
        this.endpointScore = order;
        this.zone = zone;
        this.name = name;
        hotParts = new HotParts<>(StableHash.hash(name, 3, 0), now);
    }

    // ---- What is told

    /** The caches of the list as they are now; those not among them are gone. */
    public void onEndpointList(List<CacheEndpoint> all, long now) {
        Set<Long> named = new HashSet<>();
        for (CacheEndpoint c : all) {
            named.add(c.endpointId());
            CacheState k = caches.computeIfAbsent(c.endpointId(), h -> new CacheState());
            boolean fresh = k.cache == null;
            k.cache = c;
            if (fresh || c.startedNs() > k.startedNs) {
                onStart(k, c.startedNs(), now);
            }
        }
        caches.keySet().retainAll(named);
        listVersion++;
        summaryDueNs = now;
    }

    // Its copies and its figures are of before. One that started long ago needs no ramp.
    private void onStart(CacheState k, long at, long now) {
        k.startedNs = at;
        k.ramp = null;
        k.prefetchBudget = null;
        k.loadLimit = new PeerLoadLimit(permitPhase(k, 1), limits.permitLifetimeNs(), now);
        k.hitRatio = -1;
        k.connectionFailures = 0;
        k.cachedParts = new HashSet<>();
        if (at > 0 && now - at < REFILL_NS) {
            k.ramp = new SlowStartRamp(at, now);
            k.prefetchBudget =
                    new PrefetchBudget(permitPhase(k, 2), limits.permitLifetimeNs(), now);
        }
    }

    private double permitPhase(CacheState k, int which) {
        return StableHash.toUnitInterval(
                StableHash.hash(name, k.cache.endpointId() + which, k.startedNs));
    }

    /** A client asked for a part that will be kept. */
    public void onRequest(long object, int part, T how, long now) {
        hotParts.recordRequest(new HotParts.PartKey(object, part), how, now);
    }

    /** A host said something of itself. */
    public void onReport(long host, LoadReport r) {
        CacheState k = caches.get(host);
        if (k == null || !r.isPlausible() || r.requestSentNs() < k.startedNs) {
            return;
        }
        k.hitRatio = r.hitRatio();
        k.loadLimit.onReport(r);
        if (k.ramp != null) {
            k.ramp.onReport(r);
            k.prefetchBudget.onReport(r);
        }
    }

    /** A part was given by a cold cache, and is kept there: it need not be fetched ahead. */
    public void onFilled(long host, long object, int part) {
        CacheState k = caches.get(host);
        if (k != null && k.ramp != null) {
            markCached(k, new HotParts.PartKey(object, part));
        }
    }

    private static void markCached(CacheState k, HotParts.PartKey key) {
        if (k.cachedParts.size() < MAX_CACHED_PARTS) {
            k.cachedParts.add(key);
        }
    }

    /**
     * A cache answered a client's request.
     *
     * @param hit from a copy it had
     * @param late later than the class aims at
     */
    public void onResponse(long host, boolean hit, boolean late, long now) {
        CacheState k = caches.get(host);
        if (k == null) {
            return;
        }
        k.connectionFailures = 0;
        if (isWarm(k, now) && k.cache.zone() == zone) {
            refreshSummary(now);
            warmCacheRate.add(1.0 / Math.max(1, warmCacheCount), now);
        }
        if (k.ramp != null && late && hit) {
            // What it had itself came late: it is its own link that is short, and no source's.
            k.ramp.onOverload(now);
            k.prefetchBudget.pause(now);
        }
    }

    /**
     * A cache refused for want of room, failed, or did not answer.
     *
     * @param broke its connection broke or could not be had: so often running, it is taken for
     *     started anew, whatever the list says
     */
    public void onFailure(long host, boolean broke, long now) {
        CacheState k = caches.get(host);
        if (k == null) {
            return;
        }
        k.connectionFailures = broke ? k.connectionFailures + 1 : 0;
        // One that ails gives nothing, whatever it says of itself.
        k.loadLimit.onFailure(now);
        if (k.connectionFailures >= MAX_CONNECTION_FAILURES) {
            onStart(k, now, now);
        } else if (k.ramp != null) {
            k.ramp.onOverload(now);
            k.prefetchBudget.pause(now);
        }
    }

    /** A neighbour was named for what the cold cache had itself: it was not asked. */
    public void onPeerUnused(long neighbour) {
        CacheState k = caches.get(neighbour);
        if (k != null) {
            k.loadLimit.refund();
        }
    }

    /** A neighbour was asked first for a cold cache, for a miss or ahead. */
    public void onPeerResult(long host, long neighbour, PeerResult how, long now) {
        CacheState k = caches.get(neighbour);
        if (k == null) {
            return;
        }
        CacheState cold = caches.get(host);
        if (cold != null && how != PeerResult.FAILED) {
            (k.cache.zone() == cold.cache.zone() ? cold.sameZoneFills : cold.otherZoneFills)
                    .recordOutcome(how == PeerResult.FILLED, now);
        }
        switch (how) {
            case FILLED -> k.loadLimit.onFilled();
            case MISSED -> k.loadLimit.onMiss(now);
            case FAILED -> k.loadLimit.onFailure(now);
            default -> throw new IllegalStateException();
        }
    }

    /** A fetch ahead has ended, well or not. */
    public void onPrefetchDone(Prefetch<T> f, boolean late, long now) {
        CacheState k = caches.get(f.endpointId());
        if (k != null && k.prefetchBudget != null) {
            k.prefetchBudget.inFlight = Math.max(0, k.prefetchBudget.inFlight - 1);
            if (late) {
                k.prefetchBudget.pause(now);
            }
        }
    }

    // ---- What it says

    /** Shares of cold caches that have changed enough to be told: by host, of 1. */
    public Map<Long, Double> changedShares(long now) {
        Map<Long, Double> news = new TreeMap<>();
        caches.forEach(
                (host, k) -> {
                    double share = loadShare(k, now);
                    boolean whole = share == 1 && k.announcedShare != 1;
                    if (whole
                            || Math.abs(share - k.announcedShare) >= SlowStartRamp.MIN_SHARE / 2) {
                        k.announcedShare = share;
                        news.put(host, share);
                    }
                });
        return news;
    }

    /** The share that a cache has as it was told last. */
    public double loadShare(long host) {
        CacheState k = caches.get(host);
        return k == null ? 1 : k.announcedShare;
    }

    private double loadShare(CacheState k, long now) {
        return k.ramp == null || k.cache.zone() != zone ? 1 : k.ramp.share(now);
    }

    /**
     * The neighbour that a miss of a part at a cache is filled from first; 0 for none. It is taken
     * to be asked.
     */
    public long selectFillPeer(long host, long object, int part, long now) {
        CacheState k = caches.get(host);
        if (k == null || !needsRefill(k, now)) {
            return 0;
        }
        long from = selectPeer(k, object, part, now);
        if (from != 0) {
            caches.get(from).loadLimit.acquire();
        }
        return from;
    }

    // Of the own location the two nearest by hash, which took over while this one was gone;
    // elsewhere the nearest, which
    // holds it for its own clients. The kind goes first that had more of late.
    private long selectPeer(CacheState cold, long object, int part, long now) {
        double each = limits.dispatcherSharePerNs(warmCacheRate.ratePerNs(now));
        CacheState first = null;
        CacheState second = null;
        CacheState far = null;
        double firstScore = 0;
        double secondScore = 0;
        double farScore = 0;
        for (CacheState k : caches.values()) {
            boolean near = k.cache.zone() == cold.cache.zone();
            if (k == cold
                    || !k.cache.ready()
                    || !near && !limits.crossZone()
                    || !isWarm(k, now)
                    || k.ramp != null && needsRefill(k, now)) {
                continue;
            }
            double score = endpointScore.score(object, part, k.cache.endpointId());
            if (!near) {
                if (far == null || score > farScore) {
                    far = k;
                    farScore = score;
                }
            } else if (first == null || score > firstScore) {
                second = first;
                secondScore = firstScore;
                first = k;
                firstScore = score;
            } else if (second == null || score > secondScore) {
                second = k;
                secondScore = score;
            }
        }
        boolean farFirst =
                far != null
                        && cold.sameZoneFills.estimate(now)
                                < SAME_ZONE_PREFERENCE * cold.otherZoneFills.estimate(now);
        for (CacheState k :
                farFirst
                        ? new CacheState[] {far, first, second}
                        : new CacheState[] {first, second, far}) {
            if (k != null && k.loadLimit.canAcquire(each, limits.peerShare(), now)) {
                return k.cache.endpointId();
            }
        }
        return 0;
    }

    private boolean isWarm(CacheState k, long now) {
        return k.startedNs == 0 || now - k.startedNs >= limits.warmUpNs();
    }

    // Whether its copies are not back yet.
    private boolean needsRefill(CacheState k, long now) {
        if (k.ramp == null || now - k.startedNs >= REFILL_NS) {
            return false;
        }
        refreshSummary(now);
        double peers = hitRatioByZone.getOrDefault(k.cache.zone(), -1.0);
        return !(isWarm(k, now)
                && k.hitRatio >= 0
                && peers >= 0
                && k.hitRatio >= REFILLED_FRACTION * peers);
    }

    // What is reckoned over all caches is reckoned a few times a second, not for each request.
    private void refreshSummary(long now) {
        if (now < summaryDueNs) {
            return;
        }
        summaryDueNs = now + SUMMARY_INTERVAL_NS;
        warmCacheCount = 0;
        hitRatioByZone.clear();
        Map<Integer, Integer> told = new HashMap<>();
        for (CacheState k : caches.values()) {
            warmCacheCount += k.cache.zone() == zone && k.cache.ready() && isWarm(k, now) ? 1 : 0;
            if (k.ramp == null && k.hitRatio >= 0) {
                int n = told.merge(k.cache.zone(), 1, Integer::sum);
                hitRatioByZone.merge(
                        k.cache.zone(), k.hitRatio, (mean, h) -> mean + (h - mean) / n);
            }
        }
    }

    /**
     * The next parts to fetch ahead: the hottest that belong to a cold cache and are not there yet,
     * from neighbours that have something to spare. Each is taken to be under way until {@link
     * #fetched}.
     *
     * @param allowed whether a copy of an object may be passed on now; not while older ones than a
     *     purge may be about
     */
    public List<Prefetch<T>> nextPrefetches(long now, BiPredicate<Long, T> allowed) {
        List<CacheState> cold =
                caches.values().stream()
                        .filter(
                                k ->
                                        k.prefetchBudget != null
                                                && k.cache.ready()
                                                && k.cache.zone() == zone
                                                && needsRefill(k, now))
                        .toList();
        if (cold.isEmpty()) {
            return List.of();
        }
        fillQueues(cold, now);
        List<Prefetch<T>> all = new ArrayList<>();
        double each = limits.dispatcherSharePerNs(warmCacheRate.ratePerNs(now));
        for (CacheState k : cold) {
            ArrayDeque<HotParts.HotPart<T>> queue = queues.get(k);
            int passed = 0;
            while (queue != null
                    && !queue.isEmpty()
                    && passed < MAX_PARTS_SKIPPED
                    && k.prefetchBudget.canAcquire(
                            limits, limits.capacityAt(now - k.startedNs), each, now)) {
                HotParts.HotPart<T> h = queue.poll();
                if (k.cachedParts.contains(h.key)) {
                    continue;
                }
                long from =
                        allowed.test(h.key.object(), h.request)
                                ? selectPeer(k, h.key.object(), h.key.part(), now)
                                : 0;
                if (from == 0) {
                    queue.add(h);
                    passed++;
                    continue;
                }
                k.prefetchBudget.acquire();
                caches.get(from).loadLimit.acquire();
                markCached(k, h.key);
                all.add(
                        new Prefetch<>(
                                k.cache.endpointId(),
                                from,
                                h.key.object(),
                                h.key.part(),
                                h.request));
            }
        }
        return all;
    }

    // Gives each cold cache its own of the hottest parts, some more each time, from the hottest on
    // anew each second.
    private void fillQueues(List<CacheState> cold, long now) {
        if (now >= hottestRefreshNs) {
            hottest = hotParts.hottest(now);
            hottestRefreshNs = now + HOT_PARTS_REFRESH_NS;
            nextHottest = 0;
            queues.clear();
            cold.forEach(k -> queues.put(k, new ArrayDeque<>()));
        }
        for (int reckoned = 0;
                reckoned < MAX_PARTS_EXAMINED && nextHottest < hottest.size();
                nextHottest++) {
            HotParts.HotPart<T> h = hottest.get(nextHottest);
            if (h.ownerListVersion != listVersion) {
                h.ownerId = owningCache(h.key);
                h.ownerListVersion = listVersion;
                reckoned++;
            }
            CacheState k = caches.get(h.ownerId);
            ArrayDeque<HotParts.HotPart<T>> queue = k == null ? null : queues.get(k);
            if (queue != null
                    && queue.size() < MAX_QUEUED_PARTS
                    && !k.cachedParts.contains(h.key)) {
                queue.add(h);
            }
        }
    }

    // The cache of the own location that a part belongs to; 0 where there is none.
    private long owningCache(HotParts.PartKey key) {
        return caches.values().stream()
                .filter(k -> k.cache.ready() && k.cache.zone() == zone)
                .max(
                        Comparator.comparingDouble(
                                k ->
                                        endpointScore.score(
                                                key.object(), key.part(), k.cache.endpointId())))
                .map(k -> k.cache.endpointId())
                .orElse(0L);
    }

    // ---- What is written down

    /** One line of a snapshot: a cache's start, and what had been learned of it. */
    public record SnapshotEntry(
            long endpointId, long startedMs, double loadShare, double peerFraction) {}

    /** What is worth going on from. */
    public List<SnapshotEntry> snapshot(long now) {
        List<SnapshotEntry> all = new ArrayList<>();
        caches.forEach(
                (host, k) ->
                        all.add(
                                new SnapshotEntry(
                                        host,
                                        k.cache.startedMs(),
                                        loadShare(k, now),
                                        k.loadLimit.fraction())));
        return all;
    }

    /**
     * Goes on from a snapshot: only for caches that have not started since, and by its age. One
     * that is older than a few seconds is worth nothing: the ramps begin as they would without.
     */
    public void restore(List<SnapshotEntry> lines, long ageNs, long now) {
        if (ageNs < 0 || ageNs > MAX_SNAPSHOT_AGE_NS) {
            return;
        }
        double worth = 1 - ageNs / (double) MAX_SNAPSHOT_AGE_NS;
        for (SnapshotEntry l : lines) {
            CacheState k = caches.get(l.endpointId());
            if (k == null
                    || k.cache.startedMs() != l.startedMs()
                    || !(l.loadShare() >= 0 && l.loadShare() <= 1)) {
                continue;
            }
            k.loadLimit.restore(l.peerFraction() * worth);
            if (k.ramp != null) {
                // The share was smaller for a reason; by its age it goes back to where it begins.
                k.ramp.restore(1 - (1 - l.loadShare()) * worth, now);
            }
        }
    }

    // Age at which a snapshot is worth nothing, ns.
    private static final long MAX_SNAPSHOT_AGE_NS = 20_000_000_000L;
}
