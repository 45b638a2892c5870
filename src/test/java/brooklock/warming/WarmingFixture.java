package brooklock.warming;

import brooklock.warming.CacheWarming.CacheEndpoint;
import brooklock.warming.CacheWarming.EndpointScore;
import java.util.List;

/** Caches, reports and a small fleet for the tests of this package. Times are in ns. */
final class WarmingFixture {
    static final long MS = 1_000_000L;
    static final long S = 1000 * MS;

    /**
     * One dispatcher; a cache has a fifth of its capacity at its start and all of it after 10 s.
     */
    static final WarmingLimits LIMITS =
            new WarmingLimits(false, 0.2, 0, 1, 0.2, 10 * S, 2.5, 1500 * MS);

    /**
     * The nearest cache is the one whose id is nearest to the object's number, so that tests can be
     * read.
     */
    static final EndpointScore SCORE =
            (object, part, endpointId) -> -Math.abs(object % 100 - endpointId);

    private WarmingFixture() {}

    /** A ready cache of the own zone that started long ago. */
    static CacheEndpoint warm(long id) {
        return new CacheEndpoint(id, 0, true, 0, 0);
    }

    /** A ready cache of the own zone that has just started. */
    static CacheEndpoint cold(long id, long startedNs) {
        return new CacheEndpoint(id, 0, true, startedNs, startedNs / MS);
    }

    static LoadReport report(double utilization, double hitRatio, long nowNs) {
        return new LoadReport(utilization, 3, hitRatio, nowNs - MS, nowNs);
    }

    /**
     * Caches 1 to 5, of which 1 has just started. The others have served much for this dispatcher
     * and report free capacity.
     */
    static CacheWarming<String> fleet(WarmingLimits limits, long nowNs) {
        long since = nowNs - 20 * S;
        CacheWarming<String> warming = new CacheWarming<>(limits, SCORE, 0, "d1", since);
        warming.onEndpointList(List.of(warm(1), warm(2), warm(3), warm(4), warm(5)), since);
        for (int i = 0; i < 20_000; i++) {
            long at = since + i * MS;
            warming.onResponse(2 + i % 4, true, false, at);
            if (i % 100 == 0) {
                for (int id = 2; id <= 5; id++) {
                    warming.onReport(id, report(0.2, 0.9, at));
                }
            }
        }
        warming.onEndpointList(List.of(cold(1, nowNs), warm(2), warm(3), warm(4), warm(5)), nowNs);
        return warming;
    }
}
