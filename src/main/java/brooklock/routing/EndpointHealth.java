package brooklock.routing;

/** What the {@link OutlierDetector} knows of one endpoint. State only. */
final class EndpointHealth {
    /** Attempts whose outcome is not known yet. */
    int openAttempts;

    /** Running share of failures among its outcomes. */
    double errorRate;

    /**
     * Since when it owes a response: its last response, or the first attempt after an idle time.
     */
    long silentSinceNs;

    /** Connections lost or refused without another outcome between. */
    int connectionFailures;

    /** Health-check requests that failed one after the other, up to the bound of the backoff. */
    int failuresWhileEjected;

    /** When an ejected endpoint gets its next health-check request. */
    long nextHealthCheckNs;
}
