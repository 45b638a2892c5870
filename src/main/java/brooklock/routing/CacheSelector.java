package brooklock.routing;

import java.util.Comparator;
import java.util.List;

/**
 * Selects the edge cache of a request by rendezvous hashing with bounded loads.
 *
 * <p>Inputs: the caches of the router's own zone, the work in flight at each, {@link
 * OutlierDetector}, {@link SlowStart} and how often the object is requested.
 *
 * <p>The caches are considered in descending order of their {@link RendezvousHash} scores. A cache
 * is passed over if the request has tried it, if it is ejected, if its load exceeds the bound, or
 * if its slow-start budget does not cover the request. Without the bound on the load, one popular
 * copy could fill a cache's link and make its hits late while its peers are idle. If a cache is
 * passed over, the next one in the order is considered.
 *
 * <p>If all caches are passed over, one whose slow-start budget covers the request is selected:
 * untried caches are preferred to tried ones, then caches that are not ejected to ejected ones,
 * then less loaded caches to more loaded ones.
 */
final class CacheSelector {
    /**
     * A cache is passed over if its work in flight exceeds {@link #LOAD_SLACK_REQUESTS} plus this
     * multiple of the mean over all caches.
     */
    private static final double LOAD_BOUND_FACTOR = 1.1;

    /**
     * Amount added to the load bound, as a multiple of the work of a mean request. Without it,
     * requests would move to other caches even at low load.
     */
    private static final double LOAD_SLACK_REQUESTS = 2;

    /**
     * Number of caches that are selected one by one, with one pass over the list each. The rest is
     * then sorted, which costs about as much as this many passes.
     */
    private static final int SELECTION_PASSES = 8;

    /**
     * Penalty, in nanoseconds, added to the load of a cache that the request has tried; far above
     * any load.
     */
    private static final double TRIED_PENALTY_NS = 1e15;

    /**
     * Penalty, in nanoseconds, added to the load of an ejected cache; above any load but far below
     * {@link #TRIED_PENALTY_NS}.
     */
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
     * Returns the cache for the request: the first in the order that is not passed over or, for a
     * very hot object, the least loaded of the first two or three. If all caches are passed over,
     * returns the cache that {@link #leastLoaded} selects, or null if slow start allows none.
     */
    RoutedEndpoint select(PendingRequest request, long now) {
        double maxLoad =
                scoreAll(RendezvousHash.copyHash(request.event.object(), request.event.part()));
        RoutedEndpoint best = null;
        int remaining = HotList.cacheCount(request.demand);
        for (int i = 0; i < caches.size(); i++) {
            RoutedEndpoint cache = moveBestTo(i);
            double load = loadOf(cache);
            if (request.hasTried(cache)
                    || !outliers.isUsable(cache, now)
                    || load > maxLoad
                    || !slowStart.budgetCovers(cache, request, now)) {
                continue;
            }
            best = best == null || load < loadOf(best) ? cache : best;
            if (--remaining == 0) {
                break;
            }
        }
        return best != null ? best : leastLoaded(request, now);
    }

    /**
     * Scores all caches for a copy.
     *
     * @return the load, as work in flight divided by weight, above which a cache is passed over
     */
    private double scoreAll(long copyHash) {
        double totalWorkNs = 0;
        double totalWeight = 0;
        for (int i = 0; i < caches.size(); i++) {
            RoutedEndpoint cache = caches.get(i);
            cache.rendezvousScore =
                    weighted
                            ? RendezvousHash.score(copyHash, cache.id(), cache.weight)
                            : RendezvousHash.uniformScore(copyHash, cache.id());
            totalWorkNs += cache.limit.inFlightNs();
            totalWeight += cache.weight;
        }
        return LOAD_BOUND_FACTOR * totalWorkNs / totalWeight
                + LOAD_SLACK_REQUESTS * workEstimator.meanNs() / totalWeight * caches.size();
    }

    /**
     * Moves the cache with the highest score among those at or after the given index to that index,
     * and returns it. Must be called with ascending indices. Usually only the first few caches are
     * needed, so the others are left unsorted. The list itself is reordered and stays in that order
     * until the next request.
     */
    private RoutedEndpoint moveBestTo(int index) {
        if (index == SELECTION_PASSES) {
            caches.subList(index, caches.size()).sort(BY_SCORE);
        } else if (index < SELECTION_PASSES) {
            int best = index;
            for (int i = index + 1; i < caches.size(); i++) {
                best = caches.get(i).rendezvousScore > caches.get(best).rendezvousScore ? i : best;
            }
            caches.set(index, caches.set(best, caches.get(index)));
        }
        return caches.get(index);
    }

    /**
     * Returns the least loaded cache that slow start allows, or null if it allows none. Untried
     * caches are preferred to tried ones, then caches that are not ejected to ejected ones.
     */
    private RoutedEndpoint leastLoaded(PendingRequest request, long now) {
        RoutedEndpoint best = null;
        for (int i = 0; i < caches.size(); i++) {
            RoutedEndpoint cache = caches.get(i);
            if (slowStart.budgetCovers(cache, request, now)
                    && (best == null || compareFallbacks(request, best, cache, now) > 0)) {
                best = cache;
            }
        }
        return best;
    }

    private int compareFallbacks(
            PendingRequest request, RoutedEndpoint a, RoutedEndpoint b, long now) {
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
