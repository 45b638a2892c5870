package brooklock.routing;

import brooklock.routing.RouterEvent.AttemptCompleted;

/**
 * Outlier detection: decides when endpoints are ejected and readmitted, and to which endpoint an
 * error is attributed.
 *
 * <p>Inputs: outcomes of attempts and the cache statuses that name a fill source. The endpoint list
 * is not used.
 *
 * <p>An endpoint is ejected while its error rate is above {@link #MAX_ERROR_RATE}, or while it is
 * unresponsive: several attempts are open and no outcome of any kind has been recorded for some
 * time. This detects a dead endpoint before the endpoint list reports it. An ejected endpoint gets
 * one real request as its health check after a pause. The pause doubles with each failure,
 * beginning with the one that ejects the endpoint, and a successful response ends the pause. Each
 * success lowers the error rate, and the endpoint is readmitted once the rate has fallen to the
 * bound. Without ejection, a failing endpoint would keep its share of all requests and turn it into
 * errors or timeouts.
 *
 * <p>An ejected endpoint is not excluded: the selectors use it as a last resort if all others are
 * passed over. The origin is used regardless of its health.
 *
 * <p>An error is attributed to its endpoint only if a later attempt served the request, or if the
 * request is rejected or failed and this was its only error. Otherwise requests that no endpoint
 * can serve would eject healthy endpoints one after the other, which a single client could cause.
 */
final class OutlierDetector {
    /** Weight of one failure in the error rate. */
    private static final double FAILURE_WEIGHT = 0.25;

    /** Weight of one success in the error rate. */
    private static final double SUCCESS_WEIGHT = 0.1;

    /** Error rate above which an endpoint is ejected. */
    private static final double MAX_ERROR_RATE = 0.4;

    /**
     * Pause before a health check in nanoseconds, doubled with each failure while the endpoint is
     * ejected.
     */
    private static final long BASE_PAUSE_NS = 1_000_000_000L;

    /** Maximum number of times that the pause is doubled. */
    private static final int MAX_PAUSE_DOUBLINGS = 4;

    /** Minimum number of open attempts for an endpoint to be considered unresponsive. */
    private static final int MIN_UNRESPONSIVE_ATTEMPTS = 3;

    /**
     * Multiple of the longest latency objective after which an endpoint without any outcome is
     * considered unresponsive.
     */
    private static final double UNRESPONSIVE_OBJECTIVES = 2;

    /** Number of successive lost or refused connections after which a restart is inferred. */
    private static final int MIN_CONNECTION_FAILURES_FOR_RESTART = 3;

    /**
     * A fill that fails within this multiple of the connect timeout did not reach its fill source.
     */
    private static final double UNREACHABLE_CONNECT_TIMEOUTS = 1.25;

    private final double unresponsiveAfterNs;
    private final double unreachableWithinNs;

    OutlierDetector(RouterSettings settings) {
        double longestObjectiveNs = 0;
        for (int classIndex = 0; classIndex < settings.classes().size(); classIndex++) {
            longestObjectiveNs =
                    Math.max(
                            longestObjectiveNs,
                            (double) settings.classes().get(classIndex).latencyObjectiveNs());
        }
        unresponsiveAfterNs = UNRESPONSIVE_OBJECTIVES * longestObjectiveNs;
        unreachableWithinNs = UNREACHABLE_CONNECT_TIMEOUTS * settings.limits().connectTimeoutNs();
    }

    /**
     * Returns whether an endpoint may get the next request: it is not ejected, or its health check
     * is due.
     */
    boolean isUsable(RoutedEndpoint endpoint, long now) {
        return !isEjected(endpoint, now) || now >= endpoint.health.nextHealthCheckNs;
    }

    boolean isEjected(RoutedEndpoint endpoint, long now) {
        EndpointHealth health = endpoint.health;
        return health.errorRate > MAX_ERROR_RATE
                || (health.openAttempts >= MIN_UNRESPONSIVE_ATTEMPTS
                        && now - health.noOutcomeSinceNs > unresponsiveAfterNs);
    }

    /** Records the start of an attempt at the endpoint. */
    void onAttemptStarted(RoutedEndpoint endpoint, long now) {
        if (endpoint.health.openAttempts++ == 0) {
            endpoint.health.noOutcomeSinceNs = now;
        }
    }

    /** Records the end of an attempt at the endpoint. */
    void onAttemptEnded(RoutedEndpoint endpoint) {
        endpoint.health.openAttempts--;
    }

    /**
     * Records the use of an endpoint as target or fill source. If the endpoint is ejected, this use
     * is its health check, and the next one is due after the pause.
     */
    void onUsed(RoutedEndpoint endpoint, long now) {
        if (isEjected(endpoint, now)) {
            endpoint.health.nextHealthCheckNs = now + healthCheckPauseNs(endpoint.health);
        }
    }

    /**
     * Records whether a connection to the endpoint was lost or refused.
     *
     * @return whether enough successive connections have failed to assume a restart: the endpoint
     *     may respond again, with an empty cache, before the endpoint list reports the restart
     */
    boolean onConnectionOutcome(RoutedEndpoint endpoint, boolean failed) {
        EndpointHealth health = endpoint.health;
        health.connectionFailures = failed ? health.connectionFailures + 1 : 0;
        return health.connectionFailures >= MIN_CONNECTION_FAILURES_FOR_RESTART;
    }

    /**
     * Attributes an outcome to the endpoint and, if the cache status reports a fill or a failure of
     * the fill source, to the fill source.
     */
    void onCompleted(
            PendingRequest request, Attempt attempt, AttemptCompleted completed, long now) {
        RoutedEndpoint endpoint = attempt.endpoint;
        AttemptOutcome outcome = completed.outcome();
        CacheStatus status = completed.cacheStatus();
        if (outcome == AttemptOutcome.OK) {
            recordOutcome(endpoint, true, now);
            attributeErrors(request, now);
            if (status.isFilled()) {
                boolean onTime = request.isOnTime(completed);
                recordOutcome(
                        attempt.fillSource, status == CacheStatus.FILLED_BY_ORIGIN || onTime, now);
            }
        } else if (status.isFillSourceFailure()) {
            recordOutcome(endpoint, true, now);
            recordOutcome(attempt.fillSource, status == CacheStatus.ORIGIN_FAILED, now);
        } else if ((outcome == AttemptOutcome.TIMEOUT
                        && endpoint.health.noOutcomeSinceNs <= attempt.startedAtNs
                        && request.waitsForObjective())
                || outcome == AttemptOutcome.RESET
                || outcome == AttemptOutcome.CONNECT_FAILED) {
            recordOutcome(endpoint, false, now);
        } else if (outcome == AttemptOutcome.ERROR) {
            endpoint.health.noOutcomeSinceNs = now;
            request.failedEndpoints.add(endpoint);
        } else if (outcome == AttemptOutcome.OVERLOADED || outcome == AttemptOutcome.CACHE_MISS) {
            endpoint.health.noOutcomeSinceNs = now;
        }
    }

    /** Attributes the errors of a request to the endpoints that responded with them. */
    void attributeErrors(PendingRequest request, long now) {
        for (int i = 0; i < request.failedEndpoints.size(); i++) {
            recordOutcome(request.failedEndpoints.get(i), false, now);
        }
        request.failedEndpoints.clear();
    }

    /**
     * Returns whether a fill failed so soon that its fill source cannot have been reached. A slow
     * fill source fails later.
     */
    boolean isFillSourceUnreachable(AttemptCompleted completed) {
        return completed.cacheStatus() == CacheStatus.FILL_SOURCE_CONNECTION_LOST
                && completed.fillDurationNs() < unreachableWithinNs;
    }

    private void recordOutcome(RoutedEndpoint endpoint, boolean success, long now) {
        EndpointHealth health = endpoint.health;
        health.noOutcomeSinceNs = now;
        health.errorRate +=
                success
                        ? -SUCCESS_WEIGHT * health.errorRate
                        : FAILURE_WEIGHT * (1 - health.errorRate);
        health.failuresWhileEjected =
                success || !isEjected(endpoint, now)
                        ? 0
                        : Math.min(health.failuresWhileEjected + 1, MAX_PAUSE_DOUBLINGS);
        health.nextHealthCheckNs = success ? now : now + healthCheckPauseNs(health);
    }

    private static long healthCheckPauseNs(EndpointHealth health) {
        return BASE_PAUSE_NS << health.failuresWhileEjected;
    }
}
