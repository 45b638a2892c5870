package brooklock.routing;

/** An attempt of a request, from its start until its outcome. State only. */
final class Attempt {
    final RoutedEndpoint endpoint;

    /**
     * The endpoint from which a cache miss is filled; equal to {@link #endpoint} if no fill is
     * allowed.
     */
    final RoutedEndpoint fillSource;

    final AdmittedTier admittedTier;

    /**
     * The time at which the router started the attempt, in nanoseconds. The attempt is sent later
     * if it waits for a connection.
     */
    final long startedAtNs;

    /** The work reserved on the endpoint's link, in nanoseconds; 0 once released. */
    double endpointWorkNs;

    /** The work reserved on the zone's fill link, in nanoseconds; 0 once released. */
    double fillWorkNs;

    /** The work reserved at the origin, in nanoseconds; 0 once released. */
    double originWorkNs;

    /** Whether the outcome is known. */
    boolean completed;

    /** Whether the first bytes of the response have been sent to the client. */
    boolean responseStarted;

    Attempt(
            RoutedEndpoint endpoint,
            RoutedEndpoint fillSource,
            AdmittedTier admittedTier,
            long startedAtNs) {
        this.endpoint = endpoint;
        this.fillSource = fillSource;
        this.admittedTier = admittedTier;
        this.startedAtNs = startedAtNs;
    }

    /** Returns whether the endpoint fills a cache miss. */
    boolean fillsOnMiss() {
        return fillSource != endpoint;
    }

    /**
     * Returns whether the response is missing: the attempt is still open, but another outcome of
     * the endpoint has been recorded since it started, which shows that the endpoint is alive. Any
     * recorded outcome counts, including a reset or timeout.
     */
    boolean isResponseMissing() {
        return !completed && endpoint.health.noOutcomeSinceNs > startedAtNs;
    }
}
