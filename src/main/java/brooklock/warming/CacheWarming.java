package brooklock.warming;

import brooklock.warming.HotParts.PartKey;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.BiPredicate;

/**
 * Controls the warm-up of caches that started recently. From the events that the dispatcher
 * observes it decides three things: the share of its load that such a cache receives, the peer from
 * which a miss there is filled, and which parts are prefetched.
 *
 * <p>Deterministic, with bounded work per call and without a clock of its own: every {@code nowNs}
 * is a time on the dispatcher's monotonic clock, in ns. Not thread-safe: the routing thread owns
 * it.
 *
 * @param <T> the information that the dispatcher needs to request a part without a client's request
 */
public final class CacheWarming<T> {
    /**
     * Maximum age of a snapshot that is still used, in ns; its influence falls to 0 by this age.
     */
    private static final long MAX_SNAPSHOT_AGE_NS = 20_000_000_000L;

    /** Smaller changes of a share are not announced to the router, except a return to 1. */
    private static final double MIN_SHARE_CHANGE = SlowStartRamp.MIN_SHARE / 2;

    // Seeds the order of equally hot parts; differs from the values that seed the permit phases.
    private static final int HOT_PARTS_SEED = 3;

    /**
     * Computes the rendezvous hash weight of a cache for a part. It must be the same function as
     * the router's: with a different function, fills would be sent to peers that never held the
     * part.
     */
    public interface EndpointScore {
        /** Returns the weight of a cache. The cache with the greatest weight owns the part. */
        double score(long object, int part, long endpointId);
    }

    /**
     * A cache of the endpoint list.
     *
     * @param endpointId the cache's id, not 0
     * @param zone index of the cache's zone
     * @param ready whether the cache may receive requests
     * @param startedNs time of the last start on the dispatcher's clock; 0 means long ago
     * @param startedMs time of the last start as the list states it, in ms since 1970; unlike
     *     {@code startedNs} it is the same after a restart of the dispatcher
     */
    public record CacheEndpoint(
            long endpointId, int zone, boolean ready, long startedNs, long startedMs) {}

    /**
     * A part that a cache is to fetch from a peer, and from no other source.
     *
     * @param endpointId id of the cache
     * @param peerId id of the peer
     * @param object id of the object
     * @param part index of the part within the object
     * @param request the information needed to request the part
     */
    public record Prefetch<T>(long endpointId, long peerId, long object, int part, T request) {}

    /** The result of requesting a part from a peer. */
    public enum PeerResult {
        /** The peer held the part. */
        FILLED,
        /** The peer did not hold the part. */
        MISSED,
        /** The peer rejected the request, or the connection to it was lost. */
        FAILED
    }

    /**
     * The state of one cache in a snapshot.
     *
     * @param endpointId id of the cache
     * @param startedMs time of the cache's start, in ms since 1970; the entry is valid for this
     *     incarnation only
     * @param loadShare the share of its load that the cache received, from 0 to 1
     * @param peerFraction the adaptive fraction of the cache's load limit as a peer, from 0 to 1
     */
    public record SnapshotEntry(
            long endpointId, long startedMs, double loadShare, double peerFraction) {}

    private final CacheTable caches;
    private final PeerSelector peerSelector;
    private final PrefetchPlanner<T> prefetchPlanner;

    /**
     * Creates a new instance without any caches.
     *
     * @param limits the limits of warming from the settings
     * @param score the router's hash weight
     * @param zone index of the dispatcher's own zone
     * @param name the dispatcher's name, which seeds its hashes so that the permits and prefetches
     *     of different dispatchers do not coincide
     */
    public CacheWarming(
            WarmingLimits limits, EndpointScore score, int zone, String name, long nowNs) {
        caches = new CacheTable(limits, zone, name);
        peerSelector = new PeerSelector(limits, score, caches);
        HotParts<T> hotParts = new HotParts<>(StableHash.hash(name, HOT_PARTS_SEED, 0), nowNs);
        prefetchPlanner = new PrefetchPlanner<>(limits, caches, peerSelector, score, hotParts);
    }

    // ---- Events

    /** Replaces the list of caches. Caches that it does not name are dropped. */
    public void onEndpointList(List<CacheEndpoint> endpoints, long nowNs) {
        caches.onEndpointList(endpoints, nowNs);
    }

    /** Records that a client requested a part that a cache will store. */
    public void onRequest(long object, int part, T request, long nowNs) {
        prefetchPlanner.onRequest(new PartKey(object, part), request, nowNs);
    }

    /**
     * Applies a load report of an endpoint. Implausible reports, and reports of endpoints that are
     * not caches, are ignored.
     */
    public void onReport(long endpointId, LoadReport report) {
        CacheState cache = caches.find(endpointId);
        if (cache != null) {
            cache.onReport(report);
        }
    }

    /** Records that a cache served and stored a part, so that the part is not prefetched again. */
    public void onPartCached(long endpointId, long object, int part) {
        CacheState cache = caches.find(endpointId);
        if (cache != null && cache.hasSlowStart()) {
            cache.markCached(new PartKey(object, part));
        }
    }

    /**
     * Records that a cache responded to a client's request.
     *
     * @param hit whether the response was served from a cached copy
     * @param late whether the response exceeded the latency objective of its request class
     */
    public void onResponse(long endpointId, boolean hit, boolean late, long nowNs) {
        CacheState cache = caches.find(endpointId);
        if (cache == null) {
            return;
        }
        cache.onResponse();
        caches.recordResponse(cache, nowNs);
        if (late && hit) {
            // A late hit is caused by the cache itself, a late miss possibly by its fill source.
            cache.onOverload(nowNs);
        }
    }

    /**
     * Records that a cache rejected a request for lack of capacity, failed it or did not respond.
     *
     * @param connectionLost whether the connection was lost or refused; several consecutive
     *     connection failures count as a restart of the cache, even if the endpoint list states
     *     none
     */
    public void onFailure(long endpointId, boolean connectionLost, long nowNs) {
        CacheState cache = caches.find(endpointId);
        if (cache != null) {
            cache.onFailure(connectionLost, nowNs);
        }
    }

    /** Records that a selected peer was not used because the cache already had a copy. */
    public void onPeerUnused(long peerId) {
        CacheState peer = caches.find(peerId);
        if (peer != null) {
            peer.loadLimit().refund();
        }
    }

    /** Records the result of a request from a cache to a peer, for a client or for a prefetch. */
    public void onPeerResult(long endpointId, long peerId, PeerResult result, long nowNs) {
        CacheState peer = caches.find(peerId);
        if (peer == null) {
            return;
        }
        CacheState cache = caches.find(endpointId);
        if (cache != null && result != PeerResult.FAILED) {
            cache.onPeerFill(peer, result == PeerResult.FILLED, nowNs);
        }
        peer.onPeerResult(result, nowNs);
    }

    /**
     * Records the end of a prefetch, whether it succeeded or not.
     *
     * @param late whether the prefetch was late or rejected
     */
    public void onPrefetchDone(Prefetch<T> prefetch, boolean late, long nowNs) {
        CacheState cache = caches.find(prefetch.endpointId());
        if (cache != null) {
            cache.onPrefetchDone(late, nowNs);
        }
    }

    // ---- Decisions

    /**
     * Returns the load shares, from 0 to 1 by cache id, that changed enough to be announced to the
     * router, and records them as announced.
     */
    public Map<Long, Double> pollChangedShares(long nowNs) {
        Map<Long, Double> changed = new TreeMap<>();
        for (CacheState cache : caches.all()) {
            double share = currentLoadShare(cache, nowNs);
            double announced = cache.announcedLoadShare();
            boolean recovered = share == 1 && announced != 1;
            if (recovered || Math.abs(share - announced) >= MIN_SHARE_CHANGE) {
                cache.setAnnouncedLoadShare(share);
                changed.put(cache.id(), share);
            }
        }
        return changed;
    }

    /** Returns the last announced load share of an endpoint; 1 if the endpoint is not a cache. */
    public double announcedLoadShare(long endpointId) {
        CacheState cache = caches.find(endpointId);
        return cache == null ? 1 : cache.announcedLoadShare();
    }

    // The share of a cache in another zone is always 1: its clients' requests are sent by the
    // dispatchers of that zone.
    private double currentLoadShare(CacheState cache, long nowNs) {
        return caches.isLocal(cache) ? cache.currentLoadShare(nowNs) : 1;
    }

    /**
     * Returns the id of the peer from which a cache should first try to fill a missing part, or 0
     * if the part is to be filled from its usual fill source. Acquires a permit of the peer; {@link
     * #onPeerUnused} gives it back.
     */
    public long selectFillPeer(long endpointId, long object, int part, long nowNs) {
        CacheState cache = caches.find(endpointId);
        if (cache == null || !caches.needsRefill(cache, nowNs)) {
            return 0;
        }
        Optional<CacheState> peer = peerSelector.select(cache, new PartKey(object, part), nowNs);
        if (peer.isEmpty()) {
            return 0;
        }
        peer.get().loadLimit().acquire();
        return peer.get().id();
    }

    /**
     * Returns the prefetches to send now. Each of them counts as in flight until {@link
     * #onPrefetchDone} is called for it.
     *
     * @param copyAllowed tests whether a copy of an object may be transferred between caches now;
     *     false while copies from before a purge may remain
     */
    public List<Prefetch<T>> nextPrefetches(long nowNs, BiPredicate<Long, T> copyAllowed) {
        return prefetchPlanner.next(nowNs, copyAllowed);
    }

    // ---- Snapshot

    /** Returns the state from which a restarted dispatcher continues. */
    public List<SnapshotEntry> snapshot(long nowNs) {
        List<SnapshotEntry> entries = new ArrayList<>();
        for (CacheState cache : caches.all()) {
            entries.add(
                    new SnapshotEntry(
                            cache.id(),
                            cache.startedMs(),
                            currentLoadShare(cache, nowNs),
                            cache.loadLimit().fraction()));
        }
        return entries;
    }

    /**
     * Restores a snapshot. The older the snapshot is, the less its entries count. An entry is
     * ignored if its cache has started since.
     *
     * @param ageNs age of the snapshot, in ns; if the age is negative, because the wall clock was
     *     set back, the snapshot is ignored
     */
    public void restore(List<SnapshotEntry> entries, long ageNs, long nowNs) {
        if (ageNs < 0 || ageNs > MAX_SNAPSHOT_AGE_NS) {
            return;
        }
        double weight = 1 - ageNs / (double) MAX_SNAPSHOT_AGE_NS;
        for (SnapshotEntry entry : entries) {
            CacheState cache = caches.find(entry.endpointId());
            boolean validShare = entry.loadShare() >= 0 && entry.loadShare() <= 1;
            if (cache != null && cache.startedMs() == entry.startedMs() && validShare) {
                cache.restore(entry, weight, nowNs);
            }
        }
    }
}
