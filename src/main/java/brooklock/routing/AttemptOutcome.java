package brooklock.routing;

/** How an attempt ended. */
public enum AttemptOutcome {
    /** The endpoint served the request. */
    OK(false),
    /** The endpoint answered with an error, or with something that is no response. */
    ERROR(false),
    /** The endpoint rejected the attempt because it is overloaded. */
    OVERLOADED(true),
    /** No response came within the attempt's timeout. */
    TIMEOUT(false),
    /** No connection to the endpoint came up. */
    CONNECT_FAILED(true),
    /** The connection was reset after the request had been written. */
    RESET(false),
    /** The router cancelled the attempt. */
    CANCELLED(false),
    /** The attempt was not sent in time and never reached its endpoint. */
    NOT_STARTED(true),
    /** The endpoint has no copy and the attempt allowed no fill. */
    CACHE_MISS(true);

    /** True if this outcome proves that the request had no effect. */
    public final boolean provesNotExecuted;

    AttemptOutcome(boolean provesNotExecuted) {
        this.provesNotExecuted = provesNotExecuted;
    }

    /**
     * Returns true if the attempt never reached its endpoint, so that it says nothing about
     * latency.
     */
    public boolean neverStarted() {
        return this == NOT_STARTED || this == CONNECT_FAILED;
    }
}
