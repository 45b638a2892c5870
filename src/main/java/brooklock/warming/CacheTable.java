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
 * The caches of the endpoint list, what is summarized over all of them, and this dispatcher's own
 * traffic to them.
 */
final class CacheTable {
    /** The span of measured rates, in ns: longer than a burst, shorter than a cache's start. */
    static final double RATE_SPAN_NS = 8e9;

    // Share of its peers' hit ratio at which a cache counts as refilled.
    private static final double REFILLED_FRACTION = 0.9;
    // Summaries run over all caches, so they are made a few times a second and not for each
    // request.
    private static final long SUMMARY_INTERVAL_NS = 100_000_000L;

    private final WarmingLimits limits;
    private final int ownZone;
    private final String dispatcherName;
    // Sorted, so that each iteration has the same order.
    private final TreeMap<Long, CacheState> caches = new TreeMap<>();
    private int listVersion;
    private final Map<Integer, Double> hitRatioByZone = new HashMap<>();
    private int warmCacheCount;
    private long summaryDueNs;
    // Requests to one warm cache of the own zone.
    private final DecayingRate warmCacheRate = new DecayingRate(RATE_SPAN_NS);

    CacheTable(WarmingLimits limits, int ownZone, String dispatcherName) {
        this.limits = limits;
        this.ownZone = ownZone;
        this.dispatcherName = dispatcherName;
    }

    /** Replaces the list of caches; one that is not named is forgotten. */
    void onEndpointList(List<CacheEndpoint> endpoints, long nowNs) {
        Set<Long> named = new HashSet<>();
        for (CacheEndpoint endpoint : endpoints) {
            named.add(endpoint.endpointId());
            caches.computeIfAbsent(
                            endpoint.endpointId(), id -> new CacheState(limits, dispatcherName))
                    .onListed(endpoint, nowNs);
        }
        caches.keySet().retainAll(named);
        listVersion++;
        summaryDueNs = nowNs;
    }

    /** Returns a cache, or null if the list does not name it. */
    CacheState find(long id) {
        return caches.get(id);
    }

    /** All caches by ascending id. */
    Collection<CacheState> all() {
        return caches.values();
    }

    /** Changes with each endpoint list. */
    int listVersion() {
        return listVersion;
    }

    boolean isLocal(CacheState cache) {
        return cache.zone() == ownZone;
    }

    /** Counts a response of a cache as traffic of this dispatcher. */
    void recordResponse(CacheState cache, long nowNs) {
        if (cache.isWarm(nowNs) && isLocal(cache)) {
            refreshSummary(nowNs);
            warmCacheRate.add(1.0 / Math.max(1, warmCacheCount), nowNs);
        }
    }

    /** This dispatcher's part of what a warm cache can serve, in requests per ns. */
    double dispatcherSharePerNs(long nowNs) {
        return limits.dispatcherSharePerNs(warmCacheRate.ratePerNs(nowNs));
    }

    /** Whether a cache lacks the copies that it had before its last start. */
    boolean needsRefill(CacheState cache, long nowNs) {
        if (!cache.mayLackCopies(nowNs)) {
            return false;
        }
        refreshSummary(nowNs);
        double peers = hitRatioByZone.getOrDefault(cache.zone(), -1.0);
        boolean refilled =
                cache.isWarm(nowNs)
                        && cache.hitRatio() >= 0
                        && peers >= 0
                        && cache.hitRatio() >= REFILLED_FRACTION * peers;
        return !refilled;
    }

    private void refreshSummary(long nowNs) {
        if (nowNs < summaryDueNs) {
            return;
        }
        summaryDueNs = nowNs + SUMMARY_INTERVAL_NS;
        warmCacheCount = 0;
        hitRatioByZone.clear();
        Map<Integer, Integer> reporting = new HashMap<>();
        for (CacheState cache : caches.values()) {
            if (isLocal(cache) && cache.isReady() && cache.isWarm(nowNs)) {
                warmCacheCount++;
            }
            if (!cache.hasStartedLately() && cache.hitRatio() >= 0) {
                int count = reporting.merge(cache.zone(), 1, Integer::sum);
                hitRatioByZone.merge(
                        cache.zone(),
                        cache.hitRatio(),
                        (mean, ratio) -> mean + (ratio - mean) / count);
            }
        }
    }
}
