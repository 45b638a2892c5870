package brooklock.routing;

/**
 * An action that a {@link Router} requests. The caller carries out the actions in their order.
 * Durations and times are in nanoseconds.
 */
public sealed interface RouterAction {

    /**
     * Starts an attempt.
     *
     * @param id the request
     * @param endpoint the endpoint to which the request is sent
     * @param timeoutNs time after which the attempt ends as {@link AttemptOutcome#TIMEOUT}
     * @param fillSource the endpoint from which a cache miss is filled; equal to {@code endpoint}
     *     if no fill is allowed
     * @param cachePriority priority of the copy in the cache; 0 means that it is not cached
     * @param maxAgeNs maximum age of a copy that may be served; 0 means the class's freshness
     *     lifetime
     * @param collapse whether the fill may be collapsed with others
     * @param onlyIfCached whether the fill source may serve only a cached copy
     * @param startWithinNs time within which the first byte must be written; otherwise the attempt
     *     is not started and ends as {@link AttemptOutcome#NOT_STARTED}
     */
    record StartAttempt(
            long id,
            long endpoint,
            long timeoutNs,
            long fillSource,
            int cachePriority,
            long maxAgeNs,
            boolean collapse,
            boolean onlyIfCached,
            long startWithinNs)
            implements RouterAction {

        /** Returns whether the endpoint fills a cache miss. */
        public boolean fillsOnMiss() {
            return fillSource != endpoint;
        }
    }

    /**
     * Rejects a request as its final response. A retry by the client is harmless, although attempts
     * of an idempotent request or of one with an idempotency key may have been executed.
     *
     * @param id the request
     * @param retryAfterNs delay after which the client may retry; 0 if the response states none
     */
    record RejectRequest(long id, long retryAfterNs) implements RouterAction {}

    /**
     * Fails a request as its final response. The request may have been executed.
     *
     * @param id the request
     */
    record FailRequest(long id) implements RouterAction {}

    /**
     * Cancels an attempt in flight.
     *
     * @param id the request
     * @param attempt index of the attempt, in the order of the request's {@link StartAttempt}
     *     actions
     */
    record CancelAttempt(long id, int attempt) implements RouterAction {}

    /**
     * Sets a timer.
     *
     * @param token the token that identifies the timer in {@link RouterEvent.TimerFired}
     * @param atNs time at which the timer fires, on the router's clock
     */
    record SetTimer(long token, long atNs) implements RouterAction {}

    /** Subscribes to the endpoint list and its changes. */
    record WatchEndpoints() implements RouterAction {}
}
