package brooklock.routing;

import brooklock.routing.RouterEvent.AttemptCompleted;

/**
 * Outlier detection: when an endpoint is ejected and let back, and whom an error is attributed to.
 *
 * <p>Inputs: outcomes of attempts and the cache statuses that name a fill source; nothing from the
 * endpoint list.
 *
 * <p>An endpoint is ejected while its error rate is above {@link #MAX_ERROR_RATE}, or while it is
 * silent, which finds a dead endpoint before the list says so: several attempts are open and no
 * outcome of any kind has been counted for some time. An ejected endpoint gets one real request as
 * its health check, after a pause that doubles with each failure, beginning with the one that
 * ejects it. A good response ends the pause; with each one the error rate falls, and the endpoint
 * is let back once it is not above the bound. This prevents that a failing endpoint takes its share
 * of all requests, which shows as a steady share of errors or timeouts.
 *
 * <p>An ejected endpoint is the last choice, not an excluded one: the selectors name it where all
 * others are passed over. The origin is used without a look at its health.
 *
 * <p>An error is attributed to its endpoint only once a later attempt has served the request, or
 * where the request is given up and that error was its only one. This prevents that requests which
 * no endpoint can serve eject healthy ones, which shows as endpoints ejected one after the other by
 * a single client. It holds because such a request is served by none.
 */
final class OutlierDetector {
    /** Weight of one failure in the error rate. */
    private static final double FAILURE_WEIGHT = 0.25;

    /** Weight of one success in the error rate. */
    private static final double SUCCESS_WEIGHT = 0.1;

    /** Error rate above which an endpoint is ejected. */
    private static final double MAX_ERROR_RATE = 0.4;

    /** Pause before a health check, ns, doubled once for each failure that left it ejected. */
    private static final long BASE_PAUSE_NS = 1_000_000_000L;

    /** How often the pause is doubled at most. */
    private static final int MAX_PAUSE_DOUBLINGS = 4;

    /** Open attempts from which on an endpoint can be silent. */
    private static final int MIN_SILENT_ATTEMPTS = 3;

    /** Multiple of the longest latency objective without an outcome after which it is silent. */
    private static final double SILENT_OBJECTIVES = 2;

    /** Connections lost one after the other that mean a restart. */
    private static final int CONNECTION_FAILURES_OF_RESTART = 3;

    /** A fill that fails within this multiple of the connect timeout did not reach its source. */
    private static final double UNREACHED_CONNECT_TIMEOUTS = 1.25;

    private final double silentAfterNs;
    private final double unreachedWithinNs;

    OutlierDetector(RouterSettings settings) {
        double longestObjectiveNs = 0;
        for (int i = 0; i < settings.classes().size(); i++) {
            longestObjectiveNs =
                    Math.max(
                            longestObjectiveNs,
                            (double) settings.classes().get(i).latencyObjectiveNs());
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
                || (health.openAttempts >= MIN_SILENT_ATTEMPTS
                        && now - health.silentSinceNs > silentAfterNs);
    }

    /** An attempt goes out to the endpoint. */
    void onAttemptStarted(RoutedEndpoint endpoint, long now) {
        if (endpoint.health.openAttempts++ == 0) {
            endpoint.health.silentSinceNs = now;
        }
    }

    /** The outcome of one of the endpoint's attempts is known. */
    void onAttemptEnded(RoutedEndpoint endpoint) {
        endpoint.health.openAttempts--;
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
        } else if ((outcome == AttemptOutcome.TIMEOUT
                        && endpoint.health.silentSinceNs <= attempt.decidedAtNs)
                || outcome == AttemptOutcome.RESET
                || outcome == AttemptOutcome.CONNECT_FAILED) {
            recordOutcome(endpoint, false, now);
        } else if (outcome == AttemptOutcome.ERROR) {
            endpoint.health.silentSinceNs = now;
            request.failedEndpoints.add(endpoint);
        } else if (outcome == AttemptOutcome.OVERLOADED || outcome == AttemptOutcome.CACHE_MISS) {
            endpoint.health.silentSinceNs = now;
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
        health.silentSinceNs = now;
        health.errorRate +=
                success
                        ? -SUCCESS_WEIGHT * health.errorRate
                        : FAILURE_WEIGHT * (1 - health.errorRate);
        health.failuresWhileEjected =
                success || !isEjected(endpoint, now)
                        ? 0
                        : Math.min(health.failuresWhileEjected + 1, MAX_PAUSE_DOUBLINGS);
        health.nextHealthCheckNs = success ? now : now + pauseNs(health);
    }

    private static long pauseNs(EndpointHealth health) {
        return BASE_PAUSE_NS << health.failuresWhileEjected;
    }
}
