package brooklock.warming;

import brooklock.routing.DecayingRate;
import brooklock.warming.CacheWarming.CacheEndpoint;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The caches of the endpoint list, with summaries over all of them and the rate of this
 * dispatcher's own traffic to them. Not thread-safe: the routing thread owns it.
 */
final class CacheTable {
    /** Averaging span of rates, in ns: longer than a burst, shorter than the warm-up of a cache. */
    static final double RATE_SPAN_NS = 8e9;

    // A warm cache counts as refilled once its hit ratio is at least this fraction of the mean in
    // its zone.
    private static final double REFILLED_FRACTION = 0.9;
    // A summary iterates over all caches, so it is refreshed a few times a second instead of for
    // each request.
    private static final long SUMMARY_INTERVAL_NS = 100_000_000L;

    private final WarmingLimits limits;
    private final int ownZone;
    private final String dispatcherName;
    // Sorted by id, so that the order of iteration is deterministic.
    private final TreeMap<Long, CacheState> caches = new TreeMap<>();
    private int listVersion;
    private final Map<Integer, Double> hitRatioByZone = new HashMap<>();
    private int warmCacheCount;
    private long summaryDueNs;
    // Mean rate of this dispatcher's requests to one warm cache of its own zone.
    private final DecayingRate warmCacheRate = new DecayingRate(RATE_SPAN_NS);

    CacheTable(WarmingLimits limits, int ownZone, String dispatcherName) {
        this.limits = limits;
        this.ownZone = ownZone;
        this.dispatcherName = dispatcherName;
    }

    /** Replaces the list of caches. The state of caches that the list does not name is dropped. */
    void onEndpointList(List<CacheEndpoint> endpoints, long nowNs) {
        Set<Long> listedIds = new HashSet<>();
        for (CacheEndpoint endpoint : endpoints) {
            listedIds.add(endpoint.endpointId());
            caches.computeIfAbsent(
                            endpoint.endpointId(), id -> new CacheState(limits, dispatcherName))
                    .onListed(endpoint, nowNs);
        }
        caches.keySet().retainAll(listedIds);
        listVersion++;
        summaryDueNs = nowNs;
    }

    /** Returns the cache with the given id, or null if the list does not name it. */
    CacheState find(long id) {
        return caches.get(id);
    }

    /** Returns all caches by ascending id. */
    Collection<CacheState> all() {
        return caches.values();
    }

    /** Returns a number that changes with each endpoint list. */
    int listVersion() {
        return listVersion;
    }

    /** Returns whether a cache is in the zone of this dispatcher. */
    boolean isLocal(CacheState cache) {
        return cache.zone() == ownZone;
    }

    /** Counts a response of a warm local cache towards this dispatcher's own traffic. */
    void recordResponse(CacheState cache, long nowNs) {
        if (cache.isWarm(nowNs) && isLocal(cache)) {
            refreshSummary(nowNs);
            warmCacheRate.add(1.0 / Math.max(1, warmCacheCount), nowNs);
        }
    }

    /** Returns this dispatcher's portion of the capacity of a warm cache, in requests per ns. */
    double dispatcherCapacityPerNs(long nowNs) {
        return limits.dispatcherCapacityPerNs(warmCacheRate.ratePerNs(nowNs));
    }

    /**
     * Returns whether a cache still lacks the copies that it had before its last start, judged by
     * the time since the start and by its hit ratio compared with its zone.
     */
    boolean needsRefill(CacheState cache, long nowNs) {
        if (!cache.mayLackCopies(nowNs)) {
            return false;
        }
        refreshSummary(nowNs);
        double zoneHitRatio = hitRatioByZone.getOrDefault(cache.zone(), -1.0);
        boolean refilled =
                cache.isWarm(nowNs)
                        && cache.hitRatio() >= 0
                        && zoneHitRatio >= 0
                        && cache.hitRatio() >= REFILLED_FRACTION * zoneHitRatio;
        return !refilled;
    }

    private void refreshSummary(long nowNs) {
        if (nowNs < summaryDueNs) {
            return;
        }
        summaryDueNs = nowNs + SUMMARY_INTERVAL_NS;
        warmCacheCount = 0;
        hitRatioByZone.clear();
        Map<Integer, Integer> reportingByZone = new HashMap<>();
        for (CacheState cache : caches.values()) {
            if (isLocal(cache) && cache.isReady() && cache.isWarm(nowNs)) {
                warmCacheCount++;
            }
            if (!cache.hasSlowStart() && cache.hitRatio() >= 0) {
                int count = reportingByZone.merge(cache.zone(), 1, Integer::sum);
                hitRatioByZone.merge(
                        cache.zone(),
                        cache.hitRatio(),
                        (mean, ratio) -> mean + (ratio - mean) / count);
            }
        }
    }
}
