package brooklock.warming;

import brooklock.warming.CacheWarming.EndpointScore;
import brooklock.warming.HotParts.PartKey;
import java.util.Optional;

/**
 * Selects the peer from which a part is filled, by the router's hash order, the zones and states of
 * the caches, and the {@link PeerLoadLimit} of each peer. Not thread-safe.
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
     * capacity. The caller acquires a permit of the peer's limit if it uses the peer.
     *
     * <p>Candidates are the two caches of the target's own zone with the greatest hash weights,
     * which served the target's parts while it was down, and the cache of the other zones with the
     * greatest weight, which holds the part for its own clients. The zones whose peers have
     * recently had the higher hit ratio are preferred, with a bias towards the target's own zone.
     *
     * @param target the cache that lacks the part
     * @param key the part
     */
    Optional<CacheState> select(CacheState target, PartKey key, long nowNs) {
        CacheState nearest = null;
        CacheState secondNearest = null;
        CacheState nearestInOtherZone = null;
        double nearestScore = 0;
        double secondNearestScore = 0;
        double nearestInOtherZoneScore = 0;
        for (CacheState peer : caches.all()) {
            if (!isEligible(peer, target, nowNs)) {
                continue;
            }
            double peerScore = score.score(key.object(), key.part(), peer.id());
            if (!peer.isInZoneOf(target)) {
                if (nearestInOtherZone == null || peerScore > nearestInOtherZoneScore) {
                    nearestInOtherZone = peer;
                    nearestInOtherZoneScore = peerScore;
                }
            } else if (nearest == null || peerScore > nearestScore) {
                secondNearest = nearest;
                secondNearestScore = nearestScore;
                nearest = peer;
                nearestScore = peerScore;
            } else if (secondNearest == null || peerScore > secondNearestScore) {
                secondNearest = peer;
                secondNearestScore = peerScore;
            }
        }
        return nearestInOtherZone != null && target.prefersOtherZones(nowNs)
                ? firstWithCapacity(nowNs, nearestInOtherZone, nearest, secondNearest)
                : firstWithCapacity(nowNs, nearest, secondNearest, nearestInOtherZone);
    }

    private boolean isEligible(CacheState peer, CacheState target, long nowNs) {
        return peer != target
                && peer.isReady()
                && (limits.crossZone() || peer.isInZoneOf(target))
                && peer.isWarm(nowNs)
                && !caches.needsRefill(peer, nowNs);
    }

    private Optional<CacheState> firstWithCapacity(long nowNs, CacheState... candidates) {
        double dispatcherCapacityPerNs = caches.dispatcherCapacityPerNs(nowNs);
        for (CacheState peer : candidates) {
            if (peer != null
                    && peer.loadLimit()
                            .refillAndCheck(dispatcherCapacityPerNs, limits.peerShare(), nowNs)) {
                return Optional.of(peer);
            }
        }
        return Optional.empty();
    }
}
