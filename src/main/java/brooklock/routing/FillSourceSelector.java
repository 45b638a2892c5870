package brooklock.routing;

import java.util.List;

/**
 * Selects the parent, or the origin, from which a cache miss is filled.
 *
 * <p>Inputs: the parents in the order of {@link RendezvousHash}, those of the near zone first,
 * {@link OutlierDetector}, {@link SlowStart}, and the fill sources that the request has used
 * before.
 *
 * <p>Parents that are ejected or were used before are selected only if there is no other parent,
 * but still before the origin. When all parents fail, the cause is usually the origin behind them;
 * direct fills would add to its load and keep it from recovering. The origin is selected only if
 * there is no parent or slow start allows none, for example when all parents have lost their
 * connections and are assumed to be warming up.
 */
final class FillSourceSelector {
    /**
     * Weight of the penalties, far above any score: scores decide only between parents of equal
     * penalty.
     */
    private static final double PENALTY_WEIGHT = 1e6;

    /** Penalty of a parent that the request has used before as its fill source. */
    private static final int ALREADY_USED_PENALTY = 2;

    /** Penalty of an ejected parent. */
    private static final int EJECTED_PENALTY = 1;

    private final EndpointTable endpoints;
    private final OutlierDetector outliers;
    private final SlowStart slowStart;

    FillSourceSelector(EndpointTable endpoints, OutlierDetector outliers, SlowStart slowStart) {
        this.endpoints = endpoints;
        this.outliers = outliers;
        this.slowStart = slowStart;
    }

    /**
     * Returns the fill source for a request, or null if there is neither a parent that slow start
     * allows nor an origin.
     */
    RoutedEndpoint select(PendingRequest request, long now) {
        RoutedEndpoint near = bestOf(endpoints.nearParents(), request, now);
        RoutedEndpoint far =
                near == null || penalty(near, request, now) > 0
                        ? bestOf(endpoints.farParents(), request, now)
                        : null;
        RoutedEndpoint best = near;
        if (near == null
                || (far != null && penalty(far, request, now) < penalty(near, request, now))) {
            best = far;
        }
        return best != null ? best : endpoints.origin();
    }

    private RoutedEndpoint bestOf(List<RoutedEndpoint> parents, PendingRequest request, long now) {
        long copyHash = RendezvousHash.copyHash(request.event.object(), request.event.part());
        RoutedEndpoint best = null;
        double bestScore = 0;
        for (int i = 0; i < parents.size(); i++) {
            RoutedEndpoint parent = parents.get(i);
            if (slowStart.budgetCovers(parent, request, now)) {
                double score =
                        RendezvousHash.score(copyHash, parent.id(), parent.weight)
                                - PENALTY_WEIGHT * penalty(parent, request, now);
                if (best == null || Double.compare(bestScore, score) < 0) {
                    best = parent;
                    bestScore = score;
                }
            }
        }
        return best;
    }

    private int penalty(RoutedEndpoint parent, PendingRequest request, long now) {
        return (request.hasUsedFillSource(parent) ? ALREADY_USED_PENALTY : 0)
                + (outliers.isUsable(parent, now) ? 0 : EJECTED_PENALTY);
    }
}
