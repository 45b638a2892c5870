package brooklock.routing;

/**
 * What a response says of the cached copy, or of the fill that failed.
 *
 * <p>The order is that of the simulator's wire: append only.
 */
public enum CacheStatus {
    /** Nothing is said. */
    NONE,
    /** The endpoint served its own copy. */
    HIT,
    /** The endpoint filled its copy from a parent that had one. */
    FILLED_BY_PARENT,
    /** The copy came from the origin, directly or through a parent. */
    FILLED_BY_ORIGIN,
    /** The copy came from elsewhere than the named fill source: a fill in flight, or a peer. */
    COLLAPSED,
    /** The endpoint served a stale copy. */
    STALE,
    /** The fill source rejected the fill because it is overloaded. */
    FILL_SOURCE_REJECTED,
    /** The connection to the fill source failed. */
    FILL_SOURCE_CONNECTION_LOST,
    /** The fill source has no copy and was not allowed to fetch one. */
    FILL_SOURCE_MISS,
    /** The endpoint has no capacity for a fill. */
    NO_CAPACITY,
    /** The origin failed behind the fill source. */
    ORIGIN_FAILED;

    /** Returns true if the copy was filled for this response. */
    public boolean isFilled() {
        return this == FILLED_BY_PARENT || this == FILLED_BY_ORIGIN;
    }

    /**
     * Returns true if the fill failed behind the endpoint, so that the endpoint is not to blame.
     */
    public boolean isFillSourceFailure() {
        return this == FILL_SOURCE_REJECTED
                || this == FILL_SOURCE_CONNECTION_LOST
                || this == ORIGIN_FAILED;
    }
}
