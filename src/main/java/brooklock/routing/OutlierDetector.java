package brooklock.routing;

import brooklock.routing.RouterEvent.AttemptCompleted;

/**
 * Outlier detection: ejects endpoints that fail or are silent, and lets them back by health checks.
 *
 * <p>An endpoint is ejected while its error rate is high, or while several attempts have had no
 * response for long, which finds it before the endpoint list does. It then gets one real request as
 * a health check now and then, with a pause that doubles with each that fails; a good one ends the
 * pause, and the error rate falls with each good response until the endpoint is let back. This
 * prevents that a failing endpoint takes its share of every request, which shows as a steady share
 * of errors or timeouts. An error is attributed to its endpoint only once another endpoint has
 * served the request, or where no other was tried: requests that no endpoint can serve must not
 * eject healthy ones.
 */
final class OutlierDetector {
    /** Weights of one failure and of one success in the error rate, and the rate that ejects. */
    private static final double FAILURE_WEIGHT = 0.25;

    private static final double SUCCESS_WEIGHT = 0.1;
    private static final double MAX_ERROR_RATE = 0.4;

    /** Pause before the first health check, ns, and how often it is doubled at most. */
    private static final long HEALTH_CHECK_PAUSE_NS = 1_000_000_000L;

    private static final int MAX_PAUSE_DOUBLINGS = 4;

    /**
     * An endpoint is silent with so many open attempts and no response for this multiple of the
     * longest objective.
     */
    private static final int MIN_SILENT_ATTEMPTS = 3;

    private static final double SILENT_OBJECTIVES = 2;

    /** Connections lost one after the other that mean a restart. */
    private static final int CONNECTION_FAILURES_OF_RESTART = 3;

    /**
     * A fill source was not reached if the fill failed within this multiple of the connect timeout.
     */
    private static final double UNREACHED_CONNECT_TIMEOUTS = 1.25;

    private final double silentAfterNs;
    private final double unreachedWithinNs;

    OutlierDetector(RouterSettings settings) {
        double longestObjectiveNs = 0;
        for (int i = 0; i < settings.classes().size(); i++) {
            longestObjectiveNs =
                    Math.max(longestObjectiveNs, settings.classes().get(i).latencyObjectiveNs());
        }
        silentAfterNs = SILENT_OBJECTIVES * longestObjectiveNs;
        unreachedWithinNs = UNREACHED_CONNECT_TIMEOUTS * settings.limits().connectTimeoutNs();
    }

    /**
     * Whether an endpoint may get the next request: it is not ejected, or its health check is due.
     */
    boolean isUsable(RoutedEndpoint endpoint, long now) {
        return !isEjected(endpoint, now) || now >= endpoint.health.nextHealthCheckNs;
    }

    boolean isEjected(RoutedEndpoint endpoint, long now) {
        EndpointHealth health = endpoint.health;
        return health.errorRate > MAX_ERROR_RATE
                || health.openAttempts >= MIN_SILENT_ATTEMPTS
                        && now - health.unansweredSinceNs > silentAfterNs;
    }

    /** An attempt goes out to the endpoint. */
    void onAttemptStarted(RoutedEndpoint endpoint, long now) {
        if (endpoint.health.openAttempts++ == 0) {
            endpoint.health.unansweredSinceNs = now;
        }
    }

    /** An endpoint is used as target or fill source: if it is ejected, that is its health check. */
    void onUsed(RoutedEndpoint endpoint, long now) {
        if (isEjected(endpoint, now)) {
            endpoint.health.nextHealthCheckNs = now + pauseNs(endpoint.health);
        }
    }

    /**
     * Counts connections that are lost or refused one after the other. Returns whether the endpoint
     * is taken for restarted: it may be back, with an empty cache, before the list says so.
     */
    boolean onConnectionOutcome(RoutedEndpoint endpoint, boolean failed) {
        EndpointHealth health = endpoint.health;
        health.connectionFailures = failed ? health.connectionFailures + 1 : 0;
        return health.connectionFailures >= CONNECTION_FAILURES_OF_RESTART;
    }

    /** Attributes an outcome to the endpoint, or to the fill source that the cache status names. */
    void onCompleted(
            PendingRequest request, Attempt attempt, AttemptCompleted completed, long now) {
        RoutedEndpoint endpoint = attempt.endpoint;
        AttemptOutcome outcome = completed.outcome();
        CacheStatus status = completed.cacheStatus();
        if (outcome == AttemptOutcome.OK) {
            recordOutcome(endpoint, true, now);
            blameFailedEndpoints(request, now);
            if (status.isFilled()) {
                boolean inTime = request.isOnTime(completed);
                recordOutcome(
                        attempt.fillSource, status == CacheStatus.FILLED_BY_ORIGIN || inTime, now);
            }
        } else if (status.isFillSourceFailure()) {
            recordOutcome(endpoint, true, now);
            recordOutcome(attempt.fillSource, status == CacheStatus.ORIGIN_FAILED, now);
        } else if (outcome == AttemptOutcome.TIMEOUT
                        && endpoint.health.unansweredSinceNs <= attempt.sentAtNs
                || outcome == AttemptOutcome.RESET
                || outcome == AttemptOutcome.CONNECT_FAILED) {
            recordOutcome(endpoint, false, now);
        } else if (outcome == AttemptOutcome.ERROR) {
            endpoint.health.unansweredSinceNs = now;
            request.failedEndpoints.add(endpoint);
        } else if (outcome == AttemptOutcome.OVERLOADED || outcome == AttemptOutcome.CACHE_MISS) {
            endpoint.health.unansweredSinceNs = now;
        }
    }

    /** Counts the errors of a request against the endpoints that gave them. */
    void blameFailedEndpoints(PendingRequest request, long now) {
        for (int i = 0; i < request.failedEndpoints.size(); i++) {
            recordOutcome(request.failedEndpoints.get(i), false, now);
        }
        request.failedEndpoints.clear();
    }

    /** Whether a fill failed so soon that its source was not there; a slow one fails later. */
    boolean isFillSourceUnreached(AttemptCompleted completed) {
        return completed.cacheStatus() == CacheStatus.FILL_SOURCE_CONNECTION_LOST
                && completed.fillDurationNs() < unreachedWithinNs;
    }

    private void recordOutcome(RoutedEndpoint endpoint, boolean success, long now) {
        EndpointHealth health = endpoint.health;
        health.unansweredSinceNs = now;
        health.errorRate +=
                success
                        ? -SUCCESS_WEIGHT * health.errorRate
                        : FAILURE_WEIGHT * (1 - health.errorRate);
        health.failedHealthChecks =
                success || !isEjected(endpoint, now)
                        ? 0
                        : Math.min(health.failedHealthChecks + 1, MAX_PAUSE_DOUBLINGS);
        health.nextHealthCheckNs = success ? now : now + pauseNs(health);
    }

    private static long pauseNs(EndpointHealth health) {
        return HEALTH_CHECK_PAUSE_NS << health.failedHealthChecks;
    }
}
