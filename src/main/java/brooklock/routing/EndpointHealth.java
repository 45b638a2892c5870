package brooklock.routing;

/** The health of one endpoint, as determined by the {@link OutlierDetector}. State only. */
final class EndpointHealth {
    /** The number of attempts whose outcome is not known yet. */
    int openAttempts;

    /** The exponentially weighted share of failures among the endpoint's outcomes. */
    double errorRate;

    /**
     * The time since which no outcome has been recorded, in nanoseconds. It is the latest of these
     * times: the last recorded outcome, including a timeout, a reset or an outcome as fill source,
     * but not an attempt that was cancelled or not started; the start of the first attempt after a
     * time without open attempts; the receipt of a new start time in the endpoint list.
     */
    long noOutcomeSinceNs;

    /** The number of connections lost or refused in succession. */
    int connectionFailures;

    /**
     * The number of successive failures after each of which the endpoint was ejected; it doubles
     * the pause that often and is capped accordingly. The failure that ejects the endpoint counts
     * as 1. Late failures of attempts sent before the ejection count like failed health checks.
     */
    int failuresWhileEjected;

    /**
     * The time from which an ejected endpoint may get a request as its next health check, in
     * nanoseconds.
     */
    long nextHealthCheckNs;
}
