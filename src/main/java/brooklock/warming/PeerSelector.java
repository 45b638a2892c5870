package brooklock.warming;

import brooklock.warming.CacheWarming.EndpointScore;
import brooklock.warming.HotParts.PartKey;
import java.util.Optional;

/**
 * Selects the peer that a part is filled from. Inputs: the router's own hash order, zones, states
 * and each peer's {@link PeerLoadLimit}.
 */
final class PeerSelector {
    private final WarmingLimits limits;
    private final EndpointScore score;
    private final CacheTable caches;

    PeerSelector(WarmingLimits limits, EndpointScore score, CacheTable caches) {
        this.limits = limits;
        this.score = score;
        this.caches = caches;
    }

    /**
     * Returns the peer to try first for a part that a cache lacks, or empty if no peer has
     * capacity. The caller takes a permit of the peer's limit if it uses the peer.
     *
     * <p>Candidates are the two nearest by hash of the cache's own zone, which took over its parts
     * while it was gone, and the nearest of the other zones, which holds the part for its own
     * clients. The kind that has recently held more is preferred.
     */
    Optional<CacheState> select(CacheState target, PartKey key, long nowNs) {
        CacheState nearest = null;
        CacheState second = null;
        CacheState otherZone = null;
        double nearestScore = 0;
        double secondScore = 0;
        double otherZoneScore = 0;
        for (CacheState peer : caches.all()) {
            if (!isEligible(peer, target, nowNs)) {
                continue;
            }
            double peerScore = score.score(key.object(), key.part(), peer.id());
            if (!peer.isInZoneOf(target)) {
                if (otherZone == null || peerScore > otherZoneScore) {
                    otherZone = peer;
                    otherZoneScore = peerScore;
                }
            } else if (nearest == null || peerScore > nearestScore) {
                second = nearest;
                secondScore = nearestScore;
                nearest = peer;
                nearestScore = peerScore;
            } else if (second == null || peerScore > secondScore) {
                second = peer;
                secondScore = peerScore;
            }
        }
        return otherZone != null && target.prefersOtherZones(nowNs)
                ? firstWithCapacity(nowNs, otherZone, nearest, second)
                : firstWithCapacity(nowNs, nearest, second, otherZone);
    }

    private boolean isEligible(CacheState peer, CacheState target, long nowNs) {
        return peer != target
                && peer.isReady()
                && (limits.crossZone() || peer.isInZoneOf(target))
                && peer.isWarm(nowNs)
                && !caches.needsRefill(peer, nowNs);
    }

    private Optional<CacheState> firstWithCapacity(long nowNs, CacheState... candidates) {
        double dispatcherSharePerNs = caches.dispatcherSharePerNs(nowNs);
        for (CacheState peer : candidates) {
            if (peer != null
                    && peer.loadLimit()
                            .canAcquire(dispatcherSharePerNs, limits.peerShare(), nowNs)) {
                return Optional.of(peer);
            }
        }
        return Optional.empty();
    }
}
