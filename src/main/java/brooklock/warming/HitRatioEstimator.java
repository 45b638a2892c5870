package brooklock.warming;

import brooklock.routing.DecayingRate;

/** How often peers of one kind recently held what was requested from them. */
final class HitRatioEstimator {
    private final DecayingRate requests = new DecayingRate(CacheTable.RATE_SPAN_NS);
    private final DecayingRate hits = new DecayingRate(CacheTable.RATE_SPAN_NS);

    void recordOutcome(boolean hit, long nowNs) {
        requests.add(1, nowNs);
        hits.add(hit ? 1 : 0, nowNs);
    }

    /** The estimated share of hits by the rule of succession: one half while nothing is known. */
    double estimate(long nowNs) {
        return (hits.sum(nowNs) + 1) / (requests.sum(nowNs) + 2);
    }
}
