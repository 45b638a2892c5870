package brooklock.routing;

import java.util.Comparator;
import java.util.List;

/**
 * Bounded-load rendezvous selection of the edge cache of a request.
 *
 * <p>Inputs: the caches of the own zone, the work in flight at each, {@link OutlierDetector},
 * {@link SlowStart} and how often the object is requested.
 *
 * <p>The caches are tried in the order of {@link RendezvousHash}. One is passed over that the
 * request has tried, that is ejected, that carries more than its share, or whose slow-start budget
 * does not cover the request. The bound on the share prevents that one popular copy fills a cache's
 * link while its peers idle, which shows as late hits at one cache. It holds because what a cache
 * may not take goes on to the next in the order.
 *
 * <p>Where all are passed over, only slow start still binds: of the caches that it allows the least
 * loaded is chosen, an ejected one after the others and one that the request has tried last.
 */
final class CacheSelector {
    /** A cache is passed over above this multiple of its peers' mean work in flight ... */
    private static final double LOAD_BOUND = 1.1;

    /** ... and this many mean requests more, so that small numbers move nothing. */
    private static final double LOAD_SLACK_REQUESTS = 2;

    /** Caches picked one by one before the rest is sorted, which costs about as many passes. */
    private static final int SELECTION_PASSES = 8;

    /** Added to the load, ns, of a cache that the request has tried: far above any load. */
    private static final double TRIED_PENALTY_NS = 1e15;

    /** Added to the load, ns, of an ejected cache: above any load, below the other penalty. */
    private static final double EJECTED_PENALTY_NS = 1e12;

    private static final Comparator<RoutedEndpoint> BY_SCORE =
            Comparator.comparingDouble(endpoint -> -endpoint.rendezvousScore);

    private final boolean weighted;
    private final List<RoutedEndpoint> caches;
    private final OutlierDetector outliers;
    private final SlowStart slowStart;
    private final WorkEstimator workEstimator;

    CacheSelector(
            RouterSettings settings,
            EndpointTable endpoints,
            OutlierDetector outliers,
            SlowStart slowStart,
            WorkEstimator workEstimator) {
        weighted = settings.weighted();
        caches = endpoints.localCaches();
        this.outliers = outliers;
        this.slowStart = slowStart;
        this.workEstimator = workEstimator;
    }

    /**
     * The cache for the request; where all are passed over, the least loaded that slow start
     * allows, even an ejected one. Null only where slow start allows none.
     */
    RoutedEndpoint select(PendingRequest request, long now) {
        double bound = scoreAll(RendezvousHash.copyHash(request.event.object(), request.event.part()));
        RoutedEndpoint best = null;
        int left = HotList.cacheCount(request.demand);
        for (int i = 0; i < caches.size(); i++) {
            RoutedEndpoint cache = bringNearest(i);
            double load = loadOf(cache);
            if (request.hasTried(cache)
                    || !outliers.isUsable(cache, now)
                    || load > bound
                    || !slowStart.canAfford(cache, request, now)) {
                continue;
            }
            best = best == null || load < loadOf(best) ? cache : best;
            if (--left == 0) {
                break;
            }
        }
        return best != null ? best : leastLoaded(request, now);
    }

    /**
     * Scores all caches for a copy; returns the work in flight by weight that none should exceed.
     */
    private double scoreAll(long copy) {
        double load = 0;
        double weight = 0;
        for (int i = 0; i < caches.size(); i++) {
            RoutedEndpoint cache = caches.get(i);
            cache.rendezvousScore =
                    weighted
                            ? RendezvousHash.score(copy, cache.id(), cache.weight)
                            : RendezvousHash.uniform(copy, cache.id());
            load += cache.limit.inFlightNs();
            weight += cache.weight;
        }
        return LOAD_BOUND * load / weight
                + LOAD_SLACK_REQUESTS * workEstimator.meanNs() / weight * caches.size();
    }

    /**
     * Puts the best of the caches from a place on at that place. Few are looked at, so only those
     * are ordered, in the list itself: its order is the next request's start.
     */
    private RoutedEndpoint bringNearest(int place) {
        if (place == SELECTION_PASSES) {
            caches.subList(place, caches.size()).sort(BY_SCORE);
        } else if (place < SELECTION_PASSES) {
            int best = place;
            for (int i = place + 1; i < caches.size(); i++) {
                best = caches.get(i).rendezvousScore > caches.get(best).rendezvousScore ? i : best;
            }
            caches.set(place, caches.set(best, caches.get(place)));
        }
        return caches.get(place);
    }

    /** Where all are passed over: the least loaded that the slow start allows, tried ones last. */
    private RoutedEndpoint leastLoaded(PendingRequest request, long now) {
        RoutedEndpoint best = null;
        for (int i = 0; i < caches.size(); i++) {
            RoutedEndpoint cache = caches.get(i);
            if (slowStart.canAfford(cache, request, now)
                    && (best == null || compare(request, best, cache, now) > 0)) {
                best = cache;
            }
        }
        return best;
    }

    private int compare(PendingRequest request, RoutedEndpoint a, RoutedEndpoint b, long now) {
        int order = Double.compare(penalizedLoad(request, a, now), penalizedLoad(request, b, now));
        return order != 0 ? order : BY_SCORE.compare(a, b);
    }

    private double penalizedLoad(PendingRequest request, RoutedEndpoint cache, long now) {
        return loadOf(cache)
                + (request.hasTried(cache) ? TRIED_PENALTY_NS : 0)
                + (outliers.isEjected(cache, now) ? EJECTED_PENALTY_NS : 0);
    }

    private static double loadOf(RoutedEndpoint cache) {
        return cache.limit.inFlightNs() / cache.weight;
    }
}
