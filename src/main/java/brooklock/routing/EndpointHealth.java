package brooklock.routing;

/** What the {@link OutlierDetector} knows of one endpoint. State only. */
final class EndpointHealth {
    /** Attempts whose outcome is not known yet. */
    int openAttempts;

    /** Running share of failures among its outcomes. */
    double errorRate;

    /**
     * Since when no outcome has been counted for it while attempts are open: the latest of an
     * outcome of any kind, also a timeout, a reset or one as fill source, the first attempt after
     * an idle time, and a new start on the endpoint list.
     */
    long silentSinceNs;

    /** Connections lost or refused without another outcome between. */
    int connectionFailures;

    /**
     * Failures in a row that left it ejected, up to the bound of the backoff: the one that ejects
     * it is the first, and late failures of attempts sent before its ejection count like health
     * checks.
     */
    int failuresWhileEjected;

    /** When an ejected endpoint gets its next health-check request. */
    long nextHealthCheckNs;
}
