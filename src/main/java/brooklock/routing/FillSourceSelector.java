package brooklock.routing;

import java.util.List;

/**
 * Parent or origin as the fill source of a miss.
 *
 * <p>Inputs: the parents in the order of {@link RendezvousHash}, those of the own hub first, {@link
 * OutlierDetector}, {@link SlowStart}, and the fill sources that the request has named before.
 *
 * <p>Parents that are ejected or were named before come last, yet before the origin: when all
 * parents fail, the origin behind them is the cause, and direct fills would push it further, which
 * shows as an origin that does not recover while its parents are rejected. The origin is named only
 * where no parent may be used, as when those left have lost their connections and are warming up.
 */
final class FillSourceSelector {
    /** Far above any score, so that scores decide only between parents with the same penalty. */
    private static final double PENALTY_WEIGHT = 1e6;

    /** Penalty of a parent that the request has named before. */
    private static final int ALREADY_USED = 2;

    /** Penalty of an ejected parent. */
    private static final int EJECTED = 1;

    private final EndpointTable endpoints;
    private final OutlierDetector outliers;
    private final SlowStart slowStart;

    FillSourceSelector(EndpointTable endpoints, OutlierDetector outliers, SlowStart slowStart) {
        this.endpoints = endpoints;
        this.outliers = outliers;
        this.slowStart = slowStart;
    }

    /** The fill source; null where there is neither parent nor origin. */
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
        long copy = RendezvousHash.copyHash(request.event.object(), request.event.part());
        RoutedEndpoint best = null;
        double bestScore = 0;
        for (int i = 0; i < parents.size(); i++) {
            RoutedEndpoint parent = parents.get(i);
            if (slowStart.canAfford(parent, request, now)) {
                double score =
                        RendezvousHash.score(copy, parent.id(), parent.weight)
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
        return (request.hasUsedFillSource(parent) ? ALREADY_USED : 0)
                + (outliers.isUsable(parent, now) ? 0 : EJECTED);
    }
}
