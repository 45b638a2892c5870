package brooklock.warming;

import brooklock.warming.CacheWarming.CacheEndpoint;
import brooklock.warming.CacheWarming.PeerResult;
import brooklock.warming.CacheWarming.SnapshotEntry;
import brooklock.warming.HotParts.PartKey;
import java.util.HashSet;
import java.util.Set;

/**
 * The state that this dispatcher keeps for one cache, both as a cache that is warming up and as a
 * peer that other caches are filled from. Not thread-safe: the routing thread owns it. {@link
 * #onListed} must be called before any other method.
 */
final class CacheState {
    // After a start a cache reaches its full capacity long before its copies are refilled. During
    // this period its misses are sent to a peer first.
    private static final long REFILL_PERIOD_NS = 120_000_000_000L;
    // Number of consecutive connection failures that count as a restart; the router uses the same
    // rule.
    private static final int RESTART_FAILURE_THRESHOLD = 3;
    private static final int MAX_CACHED_PARTS = 20_000;
    // Peers of the cache's own zone are tried first while their hit ratio is at least this fraction
    // of the hit ratio of peers in other zones.
    private static final double SAME_ZONE_PREFERENCE = 0.5;
    // Give the two permit budgets of a cache different phases.
    private static final int PEER_BUDGET = 1;
    private static final int PREFETCH_BUDGET = 2;

    private final WarmingLimits limits;
    private final String dispatcherName;
    private final HitRatioEstimator sameZoneHitRatio = new HitRatioEstimator();
    private final HitRatioEstimator otherZoneHitRatio = new HitRatioEstimator();
    private CacheEndpoint endpoint;
    // The last start, as stated by the endpoint list or detected by connection failures, whichever
    // is later.
    private long startedNs;
    private int connectionFailures;
    // The ramp and the prefetch budget are null if the start was long ago or already
    // REFILL_PERIOD_NS old when it was recorded.
    private SlowStartRamp ramp;
    private PrefetchBudget prefetchBudget;
    private PeerLoadLimit loadLimit;
    // Negative until the first report after a start.
    private double hitRatio = -1;
    // The parts that were prefetched or filled at this cache since its start.
    private Set<PartKey> cachedParts = new HashSet<>();
    private double announcedLoadShare = 1;

    CacheState(WarmingLimits limits, String dispatcherName) {
        this.limits = limits;
        this.dispatcherName = dispatcherName;
    }

    /** Updates the cache from the current endpoint list, which may state a new start. */
    void onListed(CacheEndpoint listed, long nowNs) {
        boolean isNew = endpoint == null;
        endpoint = listed;
        if (isNew || listed.startedNs() > startedNs) {
            resetForStart(listed.startedNs(), nowNs);
        }
    }

    /**
     * Resets all state at a start of the cache: its copies are gone, and its earlier reports no
     * longer apply.
     */
    private void resetForStart(long startNs, long nowNs) {
        startedNs = startNs;
        ramp = null;
        prefetchBudget = null;
        loadLimit = new PeerLoadLimit(permitPhase(PEER_BUDGET), limits.permitLifetimeNs(), nowNs);
        hitRatio = -1;
        connectionFailures = 0;
        cachedParts = new HashSet<>();
        // A cache that started long ago needs no slow start; 0 stands for long ago.
        if (startNs > 0 && nowNs - startNs < REFILL_PERIOD_NS) {
            ramp = new SlowStartRamp(startNs, nowNs);
            prefetchBudget =
                    new PrefetchBudget(
                            permitPhase(PREFETCH_BUDGET), limits.permitLifetimeNs(), nowNs);
        }
    }

    // The phase differs between dispatchers, so that their permits are spread over time.
    private double permitPhase(int budgetNumber) {
        return StableHash.toUnitInterval(
                StableHash.hash(dispatcherName, endpoint.endpointId() + budgetNumber, startedNs));
    }

    /** Applies a load report. A report from before the last start of the cache is ignored. */
    void onReport(LoadReport report) {
        if (!report.isPlausible() || report.requestSentNs() < startedNs) {
            return;
        }
        hitRatio = report.hitRatio();
        loadLimit.onReport(report);
        if (ramp != null) {
            ramp.onReport(report);
            prefetchBudget.onReport(report);
        }
    }

    /** Records a response of the cache, which shows that its connections work. */
    void onResponse() {
        connectionFailures = 0;
    }

    /** Records a sign of overload at the cache. Has no effect unless the cache started recently. */
    void onOverload(long nowNs) {
        if (ramp != null) {
            ramp.onOverload(nowNs);
            prefetchBudget.pause(nowNs);
        }
    }

    /**
     * Records that the cache rejected a request, failed it or did not respond; see {@link
     * CacheWarming#onFailure}.
     */
    void onFailure(boolean connectionLost, long nowNs) {
        connectionFailures = connectionLost ? connectionFailures + 1 : 0;
        // A failing cache is not used as a peer, even if it reports free capacity.
        loadLimit.onFailure(nowNs);
        if (connectionFailures >= RESTART_FAILURE_THRESHOLD) {
            resetForStart(nowNs, nowNs);
        } else {
            onOverload(nowNs);
        }
    }

    /** Records whether a peer held a part that this cache requested from it. */
    void onPeerFill(CacheState peer, boolean filled, long nowNs) {
        (isInZoneOf(peer) ? sameZoneHitRatio : otherZoneHitRatio).recordOutcome(filled, nowNs);
    }

    /** Records the result of a request in which this cache served as the peer. */
    void onPeerResult(PeerResult result, long nowNs) {
        switch (result) {
            case FILLED -> loadLimit.onFilled();
            case MISSED -> loadLimit.onMiss(nowNs);
            case FAILED -> loadLimit.onFailure(nowNs);
            default -> throw new AssertionError(result);
        }
    }

    /** Records the end of a prefetch at this cache; a late prefetch pauses prefetching. */
    void onPrefetchDone(boolean late, long nowNs) {
        if (prefetchBudget != null) {
            prefetchBudget.release();
            if (late) {
                prefetchBudget.pause(nowNs);
            }
        }
    }

    /**
     * Records that the cache holds a part. Beyond {@link #MAX_CACHED_PARTS} parts this has no
     * effect; such a part may be prefetched again.
     */
    void markCached(PartKey key) {
        if (cachedParts.size() < MAX_CACHED_PARTS) {
            cachedParts.add(key);
        }
    }

    /** Returns whether the part is known to have been cached since the last start. */
    boolean hasCached(PartKey key) {
        return cachedParts.contains(key);
    }

    /**
     * Restores the shares from a snapshot that was made before a restart of this dispatcher.
     *
     * @param weight influence of the snapshot, from 0 to 1
     */
    void restore(SnapshotEntry entry, double weight, long nowNs) {
        loadLimit.restore(entry.peerFraction() * weight);
        if (ramp != null) {
            // A share below 1 records an earlier overload, which matters less the older the
            // snapshot is. The weight therefore scales the reduction and not the share.
            ramp.restore(1 - (1 - entry.loadShare()) * weight, nowNs);
        }
    }

    long id() {
        return endpoint.endpointId();
    }

    int zone() {
        return endpoint.zone();
    }

    boolean isInZoneOf(CacheState other) {
        return zone() == other.zone();
    }

    boolean isReady() {
        return endpoint.ready();
    }

    /** Returns the wall time of the last start that the endpoint list states, in ms since 1970. */
    long startedMs() {
        return endpoint.startedMs();
    }

    /** Returns whether the cache has its full capacity. It may still lack its copies. */
    boolean isWarm(long nowNs) {
        return startedNs == 0 || nowNs - startedNs >= limits.warmUpNs();
    }

    /** Returns whether the last start was recent enough when recorded to require a slow start. */
    boolean hasSlowStart() {
        return ramp != null;
    }

    /**
     * Returns whether the cache started so recently that some of its former copies may not have
     * been refilled yet.
     */
    boolean mayLackCopies(long nowNs) {
        return ramp != null && nowNs - startedNs < REFILL_PERIOD_NS;
    }

    /** Returns the share of its full capacity that the cache has now, from 0 to 1. */
    double capacity(long nowNs) {
        return limits.capacityAt(nowNs - startedNs);
    }

    /**
     * Returns the last reported hit ratio, or a negative number if there is none since the start.
     */
    double hitRatio() {
        return hitRatio;
    }

    /** Returns the share of its load that the cache should receive now; 1 without a slow start. */
    double currentLoadShare(long nowNs) {
        return ramp == null ? 1 : ramp.updatedShare(nowNs);
    }

    /** Returns the share that was last announced to the router. */
    double announcedLoadShare() {
        return announcedLoadShare;
    }

    /** Records the share that is announced to the router. */
    void setAnnouncedLoadShare(double share) {
        announcedLoadShare = share;
    }

    PeerLoadLimit loadLimit() {
        return loadLimit;
    }

    /** Returns the budget for prefetches at this cache, or null without a slow start. */
    PrefetchBudget prefetchBudget() {
        return prefetchBudget;
    }

    /**
     * Returns whether peers in other zones have recently held so many more of the requested parts
     * that they are tried first.
     */
    boolean prefersOtherZones(long nowNs) {
        return sameZoneHitRatio.estimate(nowNs)
                < SAME_ZONE_PREFERENCE * otherZoneHitRatio.estimate(nowNs);
    }
}
