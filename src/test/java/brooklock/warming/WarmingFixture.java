package brooklock.warming;

import brooklock.warming.CacheWarming.CacheEndpoint;
import brooklock.warming.CacheWarming.EndpointScore;
import java.util.List;

/** Creates caches, reports and a small fleet for the tests of this package. Times are in ns. */
final class WarmingFixture {
    static final long MILLIS = 1_000_000L;
    static final long SECONDS = 1000 * MILLIS;

    /**
     * Limits for one dispatcher. A cache has a fifth of its capacity at its start and its full
     * capacity after 10 s.
     */
    static final WarmingLimits LIMITS =
            new WarmingLimits(false, 0.2, 0, 1, 0.2, 10 * SECONDS, 2.5, 1500 * MILLIS);

    /**
     * A weight by which a part belongs to the cache whose id is closest to the object's number, so
     * that the expected peers are obvious in tests.
     */
    static final EndpointScore SCORE =
            (object, part, endpointId) -> -Math.abs(object % 100 - endpointId);

    private WarmingFixture() {}

    /** Returns a ready cache in the dispatcher's zone that started long ago. */
    static CacheEndpoint warm(long id) {
        return new CacheEndpoint(id, 0, true, 0, 0);
    }

    /** Returns a ready cache in the dispatcher's zone that started at the given time. */
    static CacheEndpoint cold(long id, long startedNs) {
        return new CacheEndpoint(id, 0, true, startedNs, startedNs / MILLIS);
    }

    static LoadReport report(double utilization, double hitRatio, long nowNs) {
        return new LoadReport(utilization, 3, hitRatio, nowNs - MILLIS, nowNs);
    }

    /**
     * Returns a dispatcher's state with caches 1 to 5, of which cache 1 has just started. The
     * others have served many requests of this dispatcher and report free capacity.
     */
    static CacheWarming<String> fleet(WarmingLimits limits, long nowNs) {
        long startNs = nowNs - 20 * SECONDS;
        CacheWarming<String> warming = new CacheWarming<>(limits, SCORE, 0, "d1", startNs);
        warming.onEndpointList(List.of(warm(1), warm(2), warm(3), warm(4), warm(5)), startNs);
        for (int i = 0; i < 20_000; i++) {
            long at = startNs + i * MILLIS;
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
