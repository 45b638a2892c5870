package brooklock.routing;

import java.util.List;

/** What happens to a {@link Router}. Durations are in nanoseconds. */
public sealed interface RouterEvent {

    /**
     * A new endpoint list, or what changed in it.
     *
     * @param kind how it is to be applied
     * @param endpoints the endpoints it names
     */
    record EndpointListReceived(EndpointListKind kind, List<Endpoint> endpoints)
            implements RouterEvent {}

    /**
     * A client's request.
     *
     * @param id the request's identifier, not used by another open request
     * @param classIndex index of its class in the settings
     * @param object the requested object
     * @param part the part of the object
     * @param group the purge group of the object
     * @param sizeKb size of the response in KB; 0 if not known
     * @param clientRetry whether the client says that it repeats a request
     * @param deadlineNs time by which the final response has to be out, on the router's clock
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
     * The client has disconnected.
     *
     * @param id the request
     */
    record ClientDisconnected(long id) implements RouterEvent {}

    /**
     * A timer has expired.
     *
     * @param token the token of its {@link RouterAction.SetTimer}
     */
    record TimerFired(long token) implements RouterEvent {}

    /**
     * The first bytes of a response are on their way to the client, so this attempt is the one that
     * answers.
     *
     * @param id the request
     * @param attempt index of the attempt, in the order of the request's {@link
     *     RouterAction.StartAttempt}s
     * @param endpoint the attempt's endpoint
     */
    record ResponseStarted(long id, int attempt, long endpoint) implements RouterEvent {}

    /**
     * An attempt has ended. Each {@link RouterAction.StartAttempt} is followed by exactly one.
     *
     * @param id the request
     * @param attempt index of the attempt, in the order of the request's {@link
     *     RouterAction.StartAttempt}s
     * @param endpoint the attempt's endpoint
     * @param outcome how it ended
     * @param cacheStatus what the response says of the copy or of the fill
     * @param durationNs time since the attempt was started
     * @param fillDurationNs time that the endpoint waited for its fill source
     * @param requestFinished whether the request has its final response
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
     * Copies made before a point in time are invalid.
     *
     * @param object the object; 0 means all objects of the group
     * @param group the purge group
     * @param ageNs how long ago the purge was issued
     */
    record PurgeReceived(long object, int group, long ageNs) implements RouterEvent {}
}
