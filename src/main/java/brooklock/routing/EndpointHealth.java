package brooklock.routing;

/** The health of one endpoint as the {@link OutlierDetector} sees it. State only. */
final class EndpointHealth {
    /** The number of attempts whose outcome is not known yet. */
    int openAttempts;

    /** The exponentially weighted share of failures among the endpoint's outcomes. */
    double errorRate;

    /**
     * The time since which no outcome has been recorded, in nanoseconds. It is the latest of: an
     * outcome of any kind, including a timeout, a reset or an outcome as fill source; the first
     * attempt after a time without open attempts; a new start time in the endpoint list.
     */
    long noOutcomeSinceNs;

    /** The number of connections lost or refused in succession. */
    int connectionFailures;

    /**
     * The number of successive failures that left the endpoint ejected, up to the bound of the
     * backoff. The failure that ejects it is the first. Late failures of attempts sent before its
     * ejection count like failed health checks.
     */
    int failuresWhileEjected;

    /**
     * The time from which an ejected endpoint may get a request as its next health check, in
     * nanoseconds.
     */
    long nextHealthCheckNs;
}
