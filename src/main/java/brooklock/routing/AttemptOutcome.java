package brooklock.routing;

/** How an attempt ended. */
public enum AttemptOutcome {
    /** The endpoint served the request. */
    OK(false),
    /** The endpoint responded with an error, or its response was malformed. */
    ERROR(false),
    /** The endpoint rejected the attempt because it is overloaded. */
    OVERLOADED(true),
    /** No response was received within the attempt's timeout. */
    TIMEOUT(false),
    /** No connection to the endpoint was established. */
    CONNECT_FAILED(true),
    /** The connection was reset after the request had been written. */
    RESET(false),
    /** The router cancelled the attempt. */
    CANCELLED(false),
    /** The attempt was not sent in time and did not reach its endpoint. */
    NOT_STARTED(true),
    /** The endpoint has no copy and the attempt did not allow a fill. */
    CACHE_MISS(true);

    /** Whether this outcome proves that the request was not executed. */
    public final boolean provesNotExecuted;

    AttemptOutcome(boolean provesNotExecuted) {
        this.provesNotExecuted = provesNotExecuted;
    }

    /**
     * Returns whether the attempt never reached its endpoint, in which case its duration says
     * nothing about the endpoint's latency.
     */
    public boolean neverStarted() {
        return this == NOT_STARTED || this == CONNECT_FAILED;
    }
}
