package brooklock.routing;

/** An attempt of a request, from its start until its outcome. State only. */
final class Attempt {
    final RoutedEndpoint endpoint;

    /** Where the endpoint fills a cache miss from; the endpoint itself if it may not fill. */
    final RoutedEndpoint fillSource;

    final AdmittedTier admittedTier;

    /**
     * The time at which the router started the attempt, in nanoseconds. It is sent later if it
     * waits for a connection.
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
     * Returns whether this attempt is open although an outcome of its endpoint has been recorded
     * since its start. The endpoint is then taken to be alive and the response to be missing. A
     * reset or timeout of another attempt counts as such an outcome, too.
     */
    boolean isResponseMissing() {
        return !completed && endpoint.health.noOutcomeSinceNs > startedAtNs;
    }
}
