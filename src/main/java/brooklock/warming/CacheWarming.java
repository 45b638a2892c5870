package brooklock.warming;

import brooklock.warming.HotParts.PartKey;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.BiPredicate;

/**
 * Brings caches that have started lately up to their full load. It receives what the dispatcher
 * sees and decides three things: the share of its load that such a cache gets, the peer that a miss
 * there is filled from, and what is prefetched.
 *
 * <p>Deterministic and bounded, without a clock of its own: {@code nowNs} is the dispatcher's
 * monotonic clock in ns. Not thread-safe: the routing thread owns it.
 *
 * @param <T> what the dispatcher needs to request a part by itself
 */
public final class CacheWarming<T> {
    /** Age at which a snapshot is worthless, in ns. */
    private static final long MAX_SNAPSHOT_AGE_NS = 20_000_000_000L;

    /** Change of a share that is announced. */
    private static final double MIN_SHARE_CHANGE = SlowStartRamp.MIN_SHARE / 2;

    // Sets the order of hot parts apart from the hashes of permit phases.
    private static final int HOT_PARTS_SEED = 3;

    /**
     * The weight of a cache for a part. It must be the router's own hash: by another order requests
     * would go to peers that never held the part.
     */
    public interface EndpointScore {
        /** Returns the weight; of two caches the one with the greater weight is nearer. */
        double score(long object, int part, long endpointId);
    }

    /**
     * A cache of the endpoint list.
     *
     * @param endpointId its id, not 0
     * @param zone index of its zone
     * @param ready whether it may get requests
     * @param startedNs its last start on the dispatcher's clock; 0 means long ago
     * @param startedMs the same as the list states it, in ms since 1970; stays the same when the
     *     dispatcher restarts
     */
    public record CacheEndpoint(
            long endpointId, int zone, boolean ready, long startedNs, long startedMs) {}

    /**
     * A part to be fetched by a cache from a peer, and from nowhere else.
     *
     * @param endpointId the cache
     * @param peerId the peer
     * @param object the object
     * @param part the part of the object
     * @param request what is needed to request it
     */
    public record Prefetch<T>(long endpointId, long peerId, long object, int part, T request) {}

    /** What became of the request of a part from a peer. */
    public enum PeerResult {
        /** It held the part. */
        FILLED,
        /** It did not hold the part. */
        MISSED,
        /** It rejected the request, or its connection was lost. */
        FAILED
    }

    /**
     * One cache in a snapshot.
     *
     * @param endpointId the cache
     * @param startedMs its start, in ms since 1970; the entry holds for this incarnation only
     * @param loadShare the share of its load that it got, 0 to 1
     * @param peerFraction the adaptive fraction of its load limit as a peer, 0 to 1
     */
    public record SnapshotEntry(
            long endpointId, long startedMs, double loadShare, double peerFraction) {}

    private final CacheTable caches;
    private final PeerSelector peers;
    private final PrefetchPlanner<T> prefetches;

    /**
     * Creates a state in which no cache is known.
     *
     * @param zone index of the dispatcher's own zone
     * @param name the dispatcher's name, which seeds its hashes: permits and prefetches of
     *     dispatchers with different names do not coincide
     */
    public CacheWarming(
            WarmingLimits limits, EndpointScore score, int zone, String name, long nowNs) {
        caches = new CacheTable(limits, zone, name);
        peers = new PeerSelector(limits, score, caches);
        HotParts<T> hotParts = new HotParts<>(StableHash.hash(name, HOT_PARTS_SEED, 0), nowNs);
        prefetches = new PrefetchPlanner<>(limits, caches, peers, score, hotParts);
    }

    // ---- Events

    /** The endpoint list has changed; caches that it does not name are gone. */
    public void onEndpointList(List<CacheEndpoint> endpoints, long nowNs) {
        caches.onEndpointList(endpoints, nowNs);
    }

    /** A client has requested a part that a cache will store. */
    public void onRequest(long object, int part, T request, long nowNs) {
        prefetches.onRequest(new PartKey(object, part), request, nowNs);
    }

    /**
     * An endpoint has reported its load; endpoints that are no caches, and implausible reports, are
     * ignored.
     */
    public void onReport(long endpointId, LoadReport report) {
        CacheState cache = caches.find(endpointId);
        if (cache != null) {
            cache.onReport(report);
        }
    }

    /** A cache has served a part and kept it, so it need not be prefetched. */
    public void onPartCached(long endpointId, long object, int part) {
        CacheState cache = caches.find(endpointId);
        if (cache != null && cache.hasStartedLately()) {
            cache.markCached(new PartKey(object, part));
        }
    }

    /**
     * A cache has answered a client's request.
     *
     * @param hit whether from a copy that it had
     * @param late whether later than the latency objective of the class
     */
    public void onResponse(long endpointId, boolean hit, boolean late, long nowNs) {
        CacheState cache = caches.find(endpointId);
        if (cache == null) {
            return;
        }
        cache.onResponse();
        caches.recordResponse(cache, nowNs);
        if (late && hit) {
            // A late hit is due to the cache itself; a late miss may be due to its fill source.
            cache.onOverload(nowNs);
        }
    }

    /**
     * A cache has rejected a request for lack of capacity, failed it, or not answered.
     *
     * @param connectionLost whether its connection was lost or refused; some of these in a row
     *     count as a restart of the cache, whatever the endpoint list says
     */
    public void onFailure(long endpointId, boolean connectionLost, long nowNs) {
        CacheState cache = caches.find(endpointId);
        if (cache != null) {
            cache.onFailure(connectionLost, nowNs);
        }
    }

    /** A peer was selected but not used, because the cache had a copy. */
    public void onPeerUnused(long peerId) {
        CacheState peer = caches.find(peerId);
        if (peer != null) {
            peer.loadLimit().refund();
        }
    }

    /** A part that a cache lacks was requested from a peer, for a client or for a prefetch. */
    public void onPeerResult(long endpointId, long peerId, PeerResult result, long nowNs) {
        CacheState peer = caches.find(peerId);
        if (peer == null) {
            return;
        }
        CacheState cache = caches.find(endpointId);
        if (cache != null && result != PeerResult.FAILED) {
            cache.onFillFrom(peer, result == PeerResult.FILLED, nowNs);
        }
        peer.onPeerResult(result, nowNs);
    }

    /**
     * A prefetch has ended, whatever came of it.
     *
     * @param late whether it was late or rejected
     */
    public void onPrefetchDone(Prefetch<T> prefetch, boolean late, long nowNs) {
        CacheState cache = caches.find(prefetch.endpointId());
        if (cache != null) {
            cache.onPrefetchDone(late, nowNs);
        }
    }

    // ---- Decisions

    /**
     * Returns the shares of caches that have changed enough to be announced to the router, by id, 0
     * to 1.
     */
    public Map<Long, Double> pollChangedShares(long nowNs) {
        Map<Long, Double> changed = new TreeMap<>();
        for (CacheState cache : caches.all()) {
            double share = announcedLoadShare(cache, nowNs);
            double announced = cache.announcedShare();
            boolean recovered = share == 1 && announced != 1;
            if (recovered || Math.abs(share - announced) >= MIN_SHARE_CHANGE) {
                cache.announce(share);
                changed.put(cache.id(), share);
            }
        }
        return changed;
    }

    /** Returns the share of an endpoint that was announced last; 1 for one that is no cache. */
    public double announcedLoadShare(long endpointId) {
        CacheState cache = caches.find(endpointId);
        return cache == null ? 1 : cache.announcedShare();
    }

    // Caches of other zones get their clients' requests from dispatchers there.
    private double announcedLoadShare(CacheState cache, long nowNs) {
        return caches.isLocal(cache) ? cache.loadShare(nowNs) : 1;
    }

    /**
     * Returns the id of the peer that a miss of a part at a cache is filled from first, or 0 if it
     * is filled as usual. The peer counts as used until {@link #onPeerUnused}.
     */
    public long selectFillPeer(long endpointId, long object, int part, long nowNs) {
        CacheState cache = caches.find(endpointId);
        if (cache == null || !caches.needsRefill(cache, nowNs)) {
            return 0;
        }
        Optional<CacheState> peer = peers.select(cache, new PartKey(object, part), nowNs);
        if (peer.isEmpty()) {
            return 0;
        }
        peer.get().loadLimit().acquire();
        return peer.get().id();
    }

    /**
     * Returns the prefetches to send now. Each counts as in flight until {@link #onPrefetchDone}.
     *
     * @param allowed whether a copy of an object may be passed on now; false while copies from
     *     before a purge may be left
     */
    public List<Prefetch<T>> nextPrefetches(long nowNs, BiPredicate<Long, T> allowed) {
        return prefetches.next(nowNs, allowed);
    }

    // ---- Snapshot

    /** Returns what a restarted dispatcher can continue from. */
    public List<SnapshotEntry> snapshot(long nowNs) {
        List<SnapshotEntry> entries = new ArrayList<>();
        for (CacheState cache : caches.all()) {
            entries.add(
                    new SnapshotEntry(
                            cache.id(),
                            cache.startedMs(),
                            announcedLoadShare(cache, nowNs),
                            cache.loadLimit().fraction()));
        }
        return entries;
    }

    /**
     * Continues from a snapshot. An entry counts less the older it is, and not at all if the cache
     * has started since.
     *
     * @param ageNs age of the snapshot; negative if the wall clock was set back, then it is ignored
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
