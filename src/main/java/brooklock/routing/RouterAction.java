package brooklock.routing;

/**
 * What a {@link Router} wants done. Actions are carried out in their order. Durations are in
 * nanoseconds.
 */
public sealed interface RouterAction {

    /**
     * Start an attempt.
     *
     * @param id the request
     * @param endpoint the endpoint that gets it
     * @param timeoutNs the attempt ends as {@link AttemptOutcome#TIMEOUT} after this time
     * @param fillSource where a cache miss is filled from; the endpoint itself means no fill
     * @param cachePriority priority of the copy in the cache; 0 means it is not cached
     * @param maxAgeNs oldest copy that may be served; 0 means the class's freshness lifetime
     * @param collapse whether the fill may be collapsed with others
     * @param onlyIfCached whether the fill source may serve only what it has cached
     * @param startWithinNs an attempt whose first byte has not been written in this time is not
     *     started and ends as {@link AttemptOutcome#NOT_STARTED}
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

        /** Returns whether a cache miss is filled. */
        public boolean fillsOnMiss() {
            return fillSource != endpoint;
        }
    }

    /**
     * Final response: rejected. A retry by the client is harmless, though attempts of an idempotent
     * request or of one with an idempotency key may have been executed.
     *
     * @param id the request
     * @param retryAfterNs when the client may retry; 0 if nothing is said
     */
    record RejectRequest(long id, long retryAfterNs) implements RouterAction {}

    /**
     * Final response: failed, and the request may have been executed.
     *
     * @param id the request
     */
    record FailRequest(long id) implements RouterAction {}

    /**
     * Stop waiting for an attempt.
     *
     * @param id the request
     * @param attempt index of the attempt
     */
    record CancelAttempt(long id, int attempt) implements RouterAction {}

    /**
     * Fire a timer.
     *
     * @param token names the timer in {@link RouterEvent.TimerFired}
     * @param atNs when, on the router's clock
     */
    record SetTimer(long token, long atNs) implements RouterAction {}

    /** Subscribe to changes of the endpoint list. */
    record WatchEndpoints() implements RouterAction {}
}
