package brooklock.routing;

import java.util.List;

/** An event that a {@link Router} handles. Durations and times are in nanoseconds. */
public sealed interface RouterEvent {

    /**
     * An endpoint list or a change of it has been received, or the subscription to it has failed.
     *
     * @param kind how the list is applied
     * @param endpoints the entries of the list or of the change
     */
    record EndpointListReceived(EndpointListKind kind, List<Endpoint> endpoints)
            implements RouterEvent {}

    /**
     * A client has sent a request.
     *
     * @param id the request's identifier, unique among the open requests
     * @param classIndex index of the request's class in the settings
     * @param object the requested object
     * @param part the requested part of the object
     * @param group the purge group of the object
     * @param sizeKb size of the response in KB; 0 if not known
     * @param clientRetry whether the client declares the request to be a retry
     * @param deadlineNs time by which the final response must have been sent, on the router's clock
     */
    record RequestReceived(
            long id,
            int classIndex,
            long object,
            int part,
            int group,
            double sizeKb,
            boolean clientRetry,
            long deadlineNs)
            implements RouterEvent {}

    /**
     * A client has sent a request with an idempotency key that was sent to an endpoint with an
     * earlier request, which may have been executed. The window of the key is that of the earlier
     * request.
     *
     * @param request the request
     * @param keyFirstSentAtNs when the key was first sent, on the router's clock; greater than 0
     */
    record KeyedRetryReceived(RequestReceived request, long keyFirstSentAtNs)
            implements RouterEvent {}

    /**
     * The client has disconnected.
     *
     * @param id the request
     */
    record ClientDisconnected(long id) implements RouterEvent {}

    /**
     * A timer has expired.
     *
     * @param token the token of the {@link RouterAction.SetTimer} action that set the timer
     */
    record TimerFired(long token) implements RouterEvent {}

    /**
     * The first bytes of a response have been sent to the client, so this attempt provides the
     * final response.
     *
     * @param id the request
     * @param attempt index of the attempt, in the order of the request's {@link
     *     RouterAction.StartAttempt} actions
     * @param endpoint the attempt's endpoint
     */
    record ResponseStarted(long id, int attempt, long endpoint) implements RouterEvent {}

    /**
     * An attempt has ended. Each {@link RouterAction.StartAttempt} action is followed by exactly
     * one such event.
     *
     * @param id the request
     * @param attempt index of the attempt, in the order of the request's {@link
     *     RouterAction.StartAttempt} actions
     * @param endpoint the attempt's endpoint
     * @param outcome how the attempt ended
     * @param cacheStatus what the response says about the cached copy or the fill
     * @param durationNs time from the start of the attempt to its end
     * @param fillDurationNs time for which the endpoint waited for its fill source
     * @param requestFinished whether the request has had its final response
     */
    record AttemptCompleted(
            long id,
            int attempt,
            long endpoint,
            AttemptOutcome outcome,
            CacheStatus cacheStatus,
            long durationNs,
            long fillDurationNs,
            boolean requestFinished)
            implements RouterEvent {}

    /**
     * A purge has been received: copies made before it was issued are invalid.
     *
     * @param object the purged object; 0 purges all objects of the group
     * @param group the purge group
     * @param ageNs time since the purge was issued
     */
    record PurgeReceived(long object, int group, long ageNs) implements RouterEvent {}
}
