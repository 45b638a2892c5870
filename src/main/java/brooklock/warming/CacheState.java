package brooklock.warming;

import brooklock.warming.CacheWarming.CacheEndpoint;
import brooklock.warming.CacheWarming.PeerResult;
import brooklock.warming.CacheWarming.SnapshotEntry;
import brooklock.warming.HotParts.PartKey;
import java.util.HashSet;
import java.util.Set;

/**
 * What this dispatcher knows of one cache, both as one that is warming up and as a peer that others
 * are filled from.
 */
final class CacheState {
    // A cache's capacity is back long before its copies are: for so long after its start its misses
    // go to a peer first.
    private static final long REFILL_NS = 120_000_000_000L;
    // Lost connections in a row that mean a restart, by the same rule as the router's.
    private static final int MAX_CONNECTION_FAILURES = 3;
    private static final int MAX_CACHED_PARTS = 20_000;
    // Peers of the cache's own zone are tried first while they hit at least this share as often as
    // those elsewhere.
    private static final double SAME_ZONE_PREFERENCE = 0.5;
    // Which budget of a cache a permit phase is for.
    private static final int PEER_PHASE = 1;
    private static final int PREFETCH_PHASE = 2;

    private final WarmingLimits limits;
    private final String dispatcherName;
    private final HitRatioEstimator sameZoneFills = new HitRatioEstimator();
    private final HitRatioEstimator otherZoneFills = new HitRatioEstimator();
    private CacheEndpoint endpoint;
    // By the endpoint list or by its lost connections, whichever is later.
    private long startedNs;
    private int connectionFailures;
    // Both null unless the cache has started lately.
    private SlowStartRamp ramp;
    private PrefetchBudget prefetchBudget;
    private PeerLoadLimit loadLimit;
    // Negative before the first report.
    private double hitRatio = -1;
    // What was prefetched or filled there since its start.
    private Set<PartKey> cachedParts = new HashSet<>();
    private double announcedShare = 1;

    CacheState(WarmingLimits limits, String dispatcherName) {
        this.limits = limits;
        this.dispatcherName = dispatcherName;
    }

    /** Takes in the cache as the endpoint list describes it now. */
    void onListed(CacheEndpoint listed, long nowNs) {
        boolean first = endpoint == null;
        endpoint = listed;
        if (first || listed.startedNs() > startedNs) {
            onStart(listed.startedNs(), nowNs);
        }
    }

    /** The cache has started: its copies are gone, and what it reported dates from before. */
    private void onStart(long startNs, long nowNs) {
        startedNs = startNs;
        ramp = null;
        prefetchBudget = null;
        loadLimit = new PeerLoadLimit(permitPhase(PEER_PHASE), limits.permitLifetimeNs(), nowNs);
        hitRatio = -1;
        connectionFailures = 0;
        cachedParts = new HashSet<>();
        // A cache that started long ago needs no slow start; 0 means long ago.
        if (startNs > 0 && nowNs - startNs < REFILL_NS) {
            ramp = new SlowStartRamp(startNs, nowNs);
            prefetchBudget =
                    new PrefetchBudget(
                            permitPhase(PREFETCH_PHASE), limits.permitLifetimeNs(), nowNs);
        }
    }

    // Another phase at each dispatcher, so that their permits spread over time.
    private double permitPhase(int which) {
        return StableHash.toUnitInterval(
                StableHash.hash(dispatcherName, endpoint.endpointId() + which, startedNs));
    }

    /** Takes in a load report; one from before the cache's last start is ignored. */
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

    /** The cache has answered, so its connections work. */
    void onResponse() {
        connectionFailures = 0;
    }

    /** The cache shows that it is overloaded. */
    void onOverload(long nowNs) {
        if (ramp != null) {
            ramp.onOverload(nowNs);
            prefetchBudget.pause(nowNs);
        }
    }

    /**
     * The cache has rejected a request, failed it or not answered; see {@link
     * CacheWarming#onFailure}.
     */
    void onFailure(boolean connectionLost, long nowNs) {
        connectionFailures = connectionLost ? connectionFailures + 1 : 0;
        // A cache that fails is no peer, whatever it reports.
        loadLimit.onFailure(nowNs);
        if (connectionFailures >= MAX_CONNECTION_FAILURES) {
            onStart(nowNs, nowNs);
        } else {
            onOverload(nowNs);
        }
    }

    /** This cache was filled, or not, from a peer. */
    void onFillFrom(CacheState peer, boolean filled, long nowNs) {
        (isInZoneOf(peer) ? sameZoneFills : otherZoneFills).recordOutcome(filled, nowNs);
    }

    /** A part was requested from this cache as a peer. */
    void onPeerResult(PeerResult result, long nowNs) {
        switch (result) {
            case FILLED -> loadLimit.onFilled();
            case MISSED -> loadLimit.onMiss(nowNs);
            case FAILED -> loadLimit.onFailure(nowNs);
            default -> throw new AssertionError(result);
        }
    }

    /** A prefetch at this cache has ended. */
    void onPrefetchDone(boolean late, long nowNs) {
        if (prefetchBudget != null) {
            prefetchBudget.release();
            if (late) {
                prefetchBudget.pause(nowNs);
            }
        }
    }

    void markCached(PartKey key) {
        if (cachedParts.size() < MAX_CACHED_PARTS) {
            cachedParts.add(key);
        }
    }

    boolean hasCached(PartKey key) {
        return cachedParts.contains(key);
    }

    /**
     * Continues from a snapshot of before a restart of this dispatcher, which counts by its weight
     * from 0 to 1.
     */
    void restore(SnapshotEntry entry, double weight, long nowNs) {
        loadLimit.restore(entry.peerFraction() * weight);
        if (ramp != null) {
            // The share was low for a reason; the older the snapshot is, the less of that counts.
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

    /** Wall time of the last start that the list states, in ms since 1970. */
    long startedMs() {
        return endpoint.startedMs();
    }

    /** Whether the cache has its whole capacity; it may still lack its copies. */
    boolean isWarm(long nowNs) {
        return startedNs == 0 || nowNs - startedNs >= limits.warmUpNs();
    }

    /** Whether the cache has started so lately that it needs a slow start. */
    boolean hasStartedLately() {
        return ramp != null;
    }

    /** Whether its copies may not be back yet by the time since its start alone. */
    boolean mayLackCopies(long nowNs) {
        return ramp != null && nowNs - startedNs < REFILL_NS;
    }

    /** Share of its capacity that the cache has now. */
    double capacity(long nowNs) {
        return limits.capacityAt(nowNs - startedNs);
    }

    /** The hit ratio that it reported last; negative if it has reported none since its start. */
    double hitRatio() {
        return hitRatio;
    }

    /** The share of its load that it is to get now; 1 if it has not started lately. */
    double loadShare(long nowNs) {
        return ramp == null ? 1 : ramp.share(nowNs);
    }

    double announcedShare() {
        return announcedShare;
    }

    void announce(double share) {
        announcedShare = share;
    }

    PeerLoadLimit loadLimit() {
        return loadLimit;
    }

    /** The budget for prefetches at this cache; null if it has not started lately. */
    PrefetchBudget prefetchBudget() {
        return prefetchBudget;
    }

    /** Whether peers in other zones have recently held so much more that they are tried first. */
    boolean prefersOtherZones(long nowNs) {
        return sameZoneFills.estimate(nowNs)
                < SAME_ZONE_PREFERENCE * otherZoneFills.estimate(nowNs);
    }
}
