package brooklock.routing;

/**
 * What a response says about the cached copy, or about a fill that failed.
 *
 * <p>The simulator's wire format uses the ordinals: constants may only be appended.
 */
public enum CacheStatus {
    /** The response has no cache status. */
    NONE,
    /** The endpoint served its own copy. */
    HIT,
    /** The endpoint filled its copy from a parent that had one. */
    FILLED_BY_PARENT,
    /** The endpoint filled its copy from the origin, directly or through a parent. */
    FILLED_BY_ORIGIN,
    /**
     * The copy was received from a fill already in flight or from a peer, not from the fill source
     * that the attempt names.
     */
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

    /** Returns whether the copy was filled for this response. */
    public boolean isFilled() {
        return this == FILLED_BY_PARENT || this == FILLED_BY_ORIGIN;
    }

    /**
     * Returns whether the fill failed beyond the endpoint. The failure is then not attributed to
     * the endpoint.
     */
    public boolean isFillSourceFailure() {
        return this == FILL_SOURCE_REJECTED
                || this == FILL_SOURCE_CONNECTION_LOST
                || this == ORIGIN_FAILED;
    }
}
