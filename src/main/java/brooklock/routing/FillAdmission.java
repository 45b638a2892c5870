package brooklock.routing;

import brooklock.routing.RouterEvent.AttemptCompleted;

/**
 * How far a request may reach by the load: to its cache's copy only, to a parent, to the origin, or
 * not at all.
 *
 * <p>Inputs: the work of the request, the limits of the links, the hot list, and the miss ratios
 * learned from outcomes.
 *
 * <p>Each attempt reserves work on its endpoint's link, on the zone's fill link and at the origin,
 * on the latter two by the share of requests that get so far. Where a link has no capacity left the
 * request goes only as far as there is, and further on a miss if there is by then. Where it would
 * reach nothing new, the load is shed: the {@link Router} rejects the request or fails it at once.
 *
 * <p>This prevents that misses which cannot be filled hold up hits, which shows as late responses
 * from caches that have the object. It holds because a cached copy needs only the cache's own link.
 */
final class FillAdmission {
    /** Miss ratio of caches and of parents until they are measured. */
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

    /** Whether fills come late lately. */
    boolean isFillLate() {
        return fillLimit.isLate();
    }

    /** How far the request may reach now; objects off the hot list wait for a narrow origin. */
    AdmittedTier reach(PendingRequest request, RoutedEndpoint target, long now) {
        double work = request.workNs;
        if (!target.isCache) {
            return fillLimit.admits(work, now) ? AdmittedTier.ORIGIN : AdmittedTier.NONE;
        }
        boolean fill = fillLimit.admits(work * (request.missed ? 1 : missRatio), now);
        boolean origin =
                originLimit.admits(work * originShare(request), now)
                        && (request.hot || originLimit.admitsAlone(work));
        if (!target.limit.admits(work, now)
                || (request.missed && !fill)
                || (request.parentMissed && !origin)) {
            return AdmittedTier.NONE;
        }
        return !fill ? AdmittedTier.CACHE : origin ? AdmittedTier.ORIGIN : AdmittedTier.PARENT;
    }

    /** Share of the request's work that is expected at the origin, by the misses known so far. */
    private double originShare(PendingRequest request) {
        if (request.parentMissed) {
            return 1;
        }
        return request.missed ? parentMissRatio : missRatio * parentMissRatio;
    }

    /** Reserves an attempt's work on the three links. */
    void acquire(PendingRequest request, Attempt attempt) {
        attempt.endpointWorkNs = request.workNs;
        attempt.endpoint.limit.acquire(attempt.endpointWorkNs);
        boolean certain = request.missed || !request.isCacheableAt(attempt.endpoint);
        attempt.fillWorkNs =
                attempt.reach == AdmittedTier.CACHE || request.requestClass.passThrough()
                        ? 0
                        : certain ? request.workNs : request.workNs * missRatio;
        attempt.originWorkNs =
                attempt.reach != AdmittedTier.ORIGIN
                        ? 0
                        : attempt.fillWorkNs * (request.parentMissed ? 1 : parentMissRatio);
        fillLimit.acquire(attempt.fillWorkNs);
        originLimit.acquire(attempt.originWorkNs);
    }

    /** Releases an attempt's work; a second call releases nothing. */
    void release(Attempt attempt, long now) {
        attempt.endpoint.limit.release(attempt.endpointWorkNs, now);
        fillLimit.release(attempt.fillWorkNs, now);
        originLimit.release(attempt.originWorkNs, now);
        attempt.endpointWorkNs = 0;
        attempt.fillWorkNs = 0;
        attempt.originWorkNs = 0;
    }

    /**
     * Learns from an outcome. What never started, or was cancelled before its objective, says
     * nothing of a link: its client left, or its connection came up late.
     */
    void onCompleted(
            PendingRequest request,
            Attempt attempt,
            AttemptCompleted completed,
            boolean responseLost,
            double meanWorkNs,
            long now) {
        boolean early = now < request.objectiveAtNs;
        if (completed.outcome().neverStarted()
                || (completed.outcome() == AttemptOutcome.CANCELLED && early)) {
            return;
        }
        boolean onTime = completed.outcome() == AttemptOutcome.OK && request.isOnTime(completed);
        if (request.requestClass.passThrough()) {
            originLimit.onResponse(onTime, meanWorkNs, meanWorkNs);
        } else if (!request.sizeKnown) {
            (isHit(attempt, completed) ? attempt.endpoint.limit : fillLimit)
                    .onUnsizedResponse(onTime);
        } else {
            ConcurrencyLimit limit = limitJudgedBy(attempt, completed, early || responseLost);
            if (limit != null) {
                limit.onResponse(onTime, request.workNs, meanWorkNs);
            }
        }
        learnMissRatios(request, attempt, completed);
    }

    /**
     * A hit judges the cache's own link, a parent's copy the fill link, what the origin had to give
     * the origin.
     */
    private ConcurrencyLimit limitJudgedBy(
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
                || (status.isFillSourceFailure() && !outliers.isFillSourceUnreached(completed))) {
            return originLimit;
        }
        if (ok || excused) {
            return null;
        }
        return attempt.reach == AdmittedTier.CACHE ? attempt.endpoint.limit : fillLimit;
    }

    private void learnMissRatios(
            PendingRequest request, Attempt attempt, AttemptCompleted completed) {
        if (completed.outcome() != AttemptOutcome.OK
                || attempt.reach != AdmittedTier.ORIGIN
                || !attempt.endpoint.isCache) {
            return;
        }
        boolean hit = completed.cacheStatus() == CacheStatus.HIT;
        if (!request.missed) {
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
