package brooklock.warming;

import brooklock.warming.CacheWarming.EndpointScore;
import brooklock.warming.CacheWarming.Prefetch;
import brooklock.warming.HotParts.HotPart;
import brooklock.warming.HotParts.PartKey;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiPredicate;

/**
 * Plans prefetches for caches that lack their copies. A cache prefetches the hottest parts that it
 * owns by hash, each from a peer that is expected to hold it, within the cache's {@link
 * PrefetchBudget} and the peer's {@link PeerLoadLimit}. Not thread-safe.
 *
 * @param <T> the information needed to request a part
 */
final class PrefetchPlanner<T> {
    // Bound the work of one call and the number of parts queued for one cache.
    private static final int MAX_PARTS_EXAMINED = 64;
    private static final int MAX_PARTS_SKIPPED = 8;
    private static final int MAX_QUEUED_PARTS = 256;
    private static final long HOT_PARTS_REFRESH_NS = 1_000_000_000L;

    private final WarmingLimits limits;
    private final CacheTable caches;
    private final PeerSelector peerSelector;
    private final EndpointScore score;
    private final HotParts<T> hotParts;
    private List<HotPart<T>> hottestParts = List.of();
    private long nextRefreshNs;
    private int nextHottestIndex;
    private final Map<CacheState, ArrayDeque<HotPart<T>>> queues = new LinkedHashMap<>();

    PrefetchPlanner(
            WarmingLimits limits,
            CacheTable caches,
            PeerSelector peerSelector,
            EndpointScore score,
            HotParts<T> hotParts) {
        this.limits = limits;
        this.caches = caches;
        this.peerSelector = peerSelector;
        this.score = score;
        this.hotParts = hotParts;
    }

    /** Records that a client requested a part that a cache will store. */
    void onRequest(PartKey key, T request, long nowNs) {
        hotParts.recordRequest(key, request, nowNs);
    }

    /**
     * Returns the prefetches to send now, counts them as in flight and acquires their permits.
     *
     * @param copyAllowed tests whether a copy of an object may be transferred between caches now
     */
    List<Prefetch<T>> next(long nowNs, BiPredicate<Long, T> copyAllowed) {
        List<CacheState> targets =
                caches.all().stream().filter(cache -> isTarget(cache, nowNs)).toList();
        if (targets.isEmpty()) {
            return List.of();
        }
        fillQueues(targets, nowNs);
        List<Prefetch<T>> prefetches = new ArrayList<>();
        for (CacheState target : targets) {
            ArrayDeque<HotPart<T>> queue = queues.get(target);
            if (queue != null) {
                addPrefetches(target, queue, copyAllowed, prefetches, nowNs);
            }
        }
        return prefetches;
    }

    private boolean isTarget(CacheState cache, long nowNs) {
        return cache.prefetchBudget() != null
                && cache.isReady()
                && caches.isLocal(cache)
                && caches.needsRefill(cache, nowNs);
    }

    private void addPrefetches(
            CacheState target,
            ArrayDeque<HotPart<T>> queue,
            BiPredicate<Long, T> copyAllowed,
            List<Prefetch<T>> prefetches,
            long nowNs) {
        double dispatcherCapacityPerNs = caches.dispatcherCapacityPerNs(nowNs);
        int skipped = 0;
        while (!queue.isEmpty()
                && skipped < MAX_PARTS_SKIPPED
                && target.prefetchBudget()
                        .refillAndCheck(
                                limits, target.capacity(nowNs), dispatcherCapacityPerNs, nowNs)) {
            HotPart<T> part = queue.poll();
            PartKey key = part.key();
            if (target.hasCached(key)) {
                continue;
            }
            Optional<CacheState> peer =
                    copyAllowed.test(key.object(), part.request())
                            ? peerSelector.select(target, key, nowNs)
                            : Optional.empty();
            if (peer.isEmpty()) {
                queue.add(part);
                skipped++;
                continue;
            }
            target.prefetchBudget().acquire();
            peer.get().loadLimit().acquire();
            target.markCached(key);
            prefetches.add(
                    new Prefetch<>(
                            target.id(),
                            peer.get().id(),
                            key.object(),
                            key.part(),
                            part.request()));
        }
    }

    /**
     * Adds the hottest parts to the queues of the caches that own them. Each call examines a
     * bounded number of further parts; each refresh discards the queues and starts from the hottest
     * part.
     */
    private void fillQueues(List<CacheState> targets, long nowNs) {
        if (nowNs >= nextRefreshNs) {
            hottestParts = hotParts.hottest(nowNs);
            nextRefreshNs = nowNs + HOT_PARTS_REFRESH_NS;
            nextHottestIndex = 0;
            queues.clear();
            targets.forEach(target -> queues.put(target, new ArrayDeque<>()));
        }
        int examined = 0;
        while (examined < MAX_PARTS_EXAMINED && nextHottestIndex < hottestParts.size()) {
            HotPart<T> part = hottestParts.get(nextHottestIndex++);
            if (!part.hasOwnerFor(caches.listVersion())) {
                part.setOwner(owningCache(part.key()), caches.listVersion());
                examined++;
            }
            CacheState owner = caches.find(part.ownerId());
            ArrayDeque<HotPart<T>> queue = owner == null ? null : queues.get(owner);
            if (queue != null && queue.size() < MAX_QUEUED_PARTS && !owner.hasCached(part.key())) {
                queue.add(part);
            }
        }
    }

    /** Returns the id of the ready local cache that owns a part by hash, or 0 if there is none. */
    private long owningCache(PartKey key) {
        return caches.all().stream()
                .filter(cache -> cache.isReady() && caches.isLocal(cache))
                .max(
                        Comparator.comparingDouble(
                                cache -> score.score(key.object(), key.part(), cache.id())))
                .map(CacheState::id)
                .orElse(0L);
    }
}
