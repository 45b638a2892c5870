package brooklock.routing;

import brooklock.routing.RouterEvent.AttemptCompleted;

/**
 * Decides under the present load which tiers a request may use: the cached copy of its cache, a
 * parent, the origin, or none.
 *
 * <p>Inputs: the work of the request, the limits of the links, the hot list, and the miss ratios
 * learned from outcomes.
 *
 * <p>Each attempt reserves work on the link of its endpoint, on the zone's fill link and at the
 * origin. On the fill link and at the origin, only the share of the work that is expected to miss
 * in the preceding tiers is reserved. If a link has no capacity left, the request is admitted only
 * to the tiers in front of that link; after a miss, it may use a further tier if capacity is
 * available by then. If no tier is left that could serve it, the load is shed: the {@link Router}
 * rejects or fails the request at once.
 *
 * <p>Without this, misses that cannot be filled would delay hits: caches would respond late even if
 * they have the object. Serving a cached copy needs only the cache's own link.
 */
final class FillAdmission {
    /** Initial miss ratio of caches and of parents, until it is measured. */
    private static final double INITIAL_MISS_RATIO = 0.3;

    /** Weight of a new sample in a miss ratio. */
    private static final double MISS_RATIO_WEIGHT = 0.05;

    private final OutlierDetector outliers;
    private final ConcurrencyLimit fillLimit = ConcurrencyLimit.forFills();
    private final ConcurrencyLimit originLimit;
    private double missRatio = INITIAL_MISS_RATIO;
    private double parentMissRatio = INITIAL_MISS_RATIO;

    FillAdmission(RouterSettings settings, OutlierDetector outliers) {
        originLimit = ConcurrencyLimit.forOrigin(settings.dispatcherCount());
        this.outliers = outliers;
    }

    /** Returns whether the zone's fill link is congested. */
    boolean isFillLinkCongested() {
        return fillLimit.isCongested();
    }

    /**
     * Returns the furthest tier that the request may use. While the origin's limit is smaller than
     * the request, only hot objects are admitted to the origin.
     */
    AdmittedTier admit(PendingRequest request, RoutedEndpoint target, long now) {
        double workNs = request.workNs;
        if (!target.isCache) {
            return fillLimit.admits(workNs, now) ? AdmittedTier.ORIGIN : AdmittedTier.NONE;
        }
        boolean fillAdmitted =
                fillLimit.admits(workNs * (request.cacheMissed ? 1 : missRatio), now);
        boolean originAdmitted =
                originLimit.admits(workNs * expectedOriginShare(request), now)
                        && (request.objectHot || originLimit.isAtLeast(workNs));
        if (!target.limit.admits(workNs, now)
                || (request.cacheMissed && !fillAdmitted)
                || (request.parentMissed && !originAdmitted)) {
            return AdmittedTier.NONE;
        }
        return !fillAdmitted
                ? AdmittedTier.CACHE
                : originAdmitted ? AdmittedTier.ORIGIN : AdmittedTier.PARENT;
    }

    /**
     * Returns the share of the request's work that is expected at the origin, given the misses
     * known so far.
     */
    private double expectedOriginShare(PendingRequest request) {
        if (request.parentMissed) {
            return 1;
        }
        return request.cacheMissed ? parentMissRatio : missRatio * parentMissRatio;
    }

    /** Reserves an attempt's work on the endpoint's link, on the fill link and at the origin. */
    void acquire(PendingRequest request, Attempt attempt) {
        attempt.endpointWorkNs = request.workNs;
        attempt.endpoint.limit.acquire(attempt.endpointWorkNs);
        boolean fillCertain = request.cacheMissed || !request.isCacheableAt(attempt.endpoint);
        attempt.fillWorkNs =
                attempt.admittedTier == AdmittedTier.CACHE || request.requestClass.passThrough()
                        ? 0
                        : fillCertain ? request.workNs : request.workNs * missRatio;
        attempt.originWorkNs =
                attempt.admittedTier != AdmittedTier.ORIGIN
                        ? 0
                        : attempt.fillWorkNs * (request.parentMissed ? 1 : parentMissRatio);
        fillLimit.acquire(attempt.fillWorkNs);
        originLimit.acquire(attempt.originWorkNs);
    }

    /** Releases an attempt's work. A second call has no effect. */
    void release(Attempt attempt, long now) {
        attempt.endpoint.limit.release(attempt.endpointWorkNs, now);
        fillLimit.release(attempt.fillWorkNs, now);
        originLimit.release(attempt.originWorkNs, now);
        attempt.endpointWorkNs = 0;
        attempt.fillWorkNs = 0;
        attempt.originWorkNs = 0;
    }

    /**
     * Updates the limits and miss ratios with an outcome. Two kinds of attempts are ignored,
     * because they say nothing about a link: attempts that never started because their connection
     * was late or failed; and attempts that were cancelled before their latency objective, for
     * example because the client disconnected.
     */
    void onCompleted(
            PendingRequest request,
            Attempt attempt,
            AttemptCompleted completed,
            boolean responseLost,
            double meanWorkNs,
            long now) {
        boolean beforeObjective = now < request.objectiveAtNs;
        if (completed.outcome().neverStarted()
                || (completed.outcome() == AttemptOutcome.CANCELLED && beforeObjective)) {
            return;
        }
        boolean onTime = completed.outcome() == AttemptOutcome.OK && request.isOnTime(completed);
        if (request.requestClass.passThrough()) {
            originLimit.onResponse(onTime, meanWorkNs, meanWorkNs);
        } else if (!request.sizeKnown) {
            (isHit(attempt, completed) ? attempt.endpoint.limit : fillLimit)
                    .onUnsizedResponse(onTime);
        } else {
            ConcurrencyLimit limit =
                    limitToUpdate(attempt, completed, beforeObjective || responseLost);
            if (limit != null) {
                double workNs =
                        completed.outcome() == AttemptOutcome.OK
                                ? request.confirmedWorkNs(completed, meanWorkNs)
                                : request.workNs;
                limit.onResponse(onTime, workNs, meanWorkNs);
            }
        }
        updateMissRatios(request, attempt, completed);
    }

    /**
     * Returns the limit that an outcome updates, or null if it updates none:
     *
     * <ul>
     *   <li>a hit: the limit of the cache's own link;
     *   <li>a copy from a parent, or a response from an endpoint that is not a cache: the limit of
     *       the fill link;
     *   <li>a copy from the origin, or a failed fill that reached its fill source: the limit of the
     *       origin;
     *   <li>any other failure that is not excused: the limit of the cache's own link if only the
     *       cached copy was allowed, else the limit of the fill link.
     * </ul>
     *
     * @param excused whether the attempt ended before the latency objective or its response was
     *     lost, so no link is at fault
     */
    private ConcurrencyLimit limitToUpdate(
            Attempt attempt, AttemptCompleted completed, boolean excused) {
        boolean ok = completed.outcome() == AttemptOutcome.OK;
        CacheStatus status = completed.cacheStatus();
        if (ok && isHit(attempt, completed)) {
            return attempt.endpoint.limit;
        }
        if (ok && (!attempt.endpoint.isCache || status == CacheStatus.FILLED_BY_PARENT)) {
            return fillLimit;
        }
        if ((ok && status == CacheStatus.FILLED_BY_ORIGIN)
                || (status.isFillSourceFailure() && !outliers.isFillSourceUnreachable(completed))) {
            return originLimit;
        }
        if (ok || excused) {
            return null;
        }
        return attempt.admittedTier == AdmittedTier.CACHE ? attempt.endpoint.limit : fillLimit;
    }

    private void updateMissRatios(
            PendingRequest request, Attempt attempt, AttemptCompleted completed) {
        if (completed.outcome() != AttemptOutcome.OK
                || attempt.admittedTier != AdmittedTier.ORIGIN
                || !attempt.endpoint.isCache) {
            return;
        }
        boolean hit = completed.cacheStatus() == CacheStatus.HIT;
        if (!request.cacheMissed) {
            missRatio += MISS_RATIO_WEIGHT * ((hit ? 0 : 1) - missRatio);
        }
        if (!request.parentMissed && !hit) {
            boolean fromOrigin = completed.cacheStatus() == CacheStatus.FILLED_BY_ORIGIN;
            parentMissRatio += MISS_RATIO_WEIGHT * ((fromOrigin ? 1 : 0) - parentMissRatio);
        }
    }

    private static boolean isHit(Attempt attempt, AttemptCompleted completed) {
        return attempt.endpoint.isCache && completed.cacheStatus() == CacheStatus.HIT;
    }
}
