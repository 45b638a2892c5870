package brooklock.routing;

/** One attempt of a request, from its start until its outcome. State only. */
final class Attempt {
    final RoutedEndpoint endpoint;

    /** Where the endpoint fills a miss from; the endpoint itself if it shall not fill. */
    final RoutedEndpoint fillSource;

    final AdmittedTier reach;

    /** When the router decided it; the endpoint gets it later if it waits for a connection. */
    final long decidedAtNs;

    /** Work reserved on the endpoint's link, ns; 0 once released. */
    double endpointWorkNs;

    /** Work reserved on the fill link of the zone, ns; 0 once released. */
    double fillWorkNs;

    /** Work reserved at the origin, ns; 0 once released. */
    double originWorkNs;

    /** Whether its outcome is known. */
    boolean completed;

    /** Whether its response has begun to go to the client. */
    boolean responseStarted;

    Attempt(RoutedEndpoint endpoint, RoutedEndpoint fillSource, AdmittedTier reach, long decidedAtNs) {
        this.endpoint = endpoint;
        this.fillSource = fillSource;
        this.reach = reach;
        this.decidedAtNs = decidedAtNs;
    }

    /** Whether a cache miss at its endpoint is filled. */
    boolean fills() {
        return fillSource != endpoint;
    }

    /**
     * Whether an outcome of its endpoint has been counted since it was decided: the response is
     * taken to be missing, not the endpoint. The reset or timeout of another attempt counts too.
     */
    boolean isOvertaken() {
        return !completed && endpoint.health.silentSinceNs > decidedAtNs;
    }
}
