package brooklock.warming;

import brooklock.routing.DecayingRate;

/** Estimates how often peers of one group recently held the parts that were requested from them. */
final class HitRatioEstimator {
    private final DecayingRate requests = new DecayingRate(CacheTable.RATE_SPAN_NS);
    private final DecayingRate hits = new DecayingRate(CacheTable.RATE_SPAN_NS);

    void recordOutcome(boolean hit, long nowNs) {
        requests.add(1, nowNs);
        hits.add(hit ? 1 : 0, nowNs);
    }

    /** Returns the hit ratio by the rule of succession, which is one half without any requests. */
    double estimate(long nowNs) {
        return (hits.sum(nowNs) + 1) / (requests.sum(nowNs) + 2);
    }
}
