package brooklock.routing;

import java.util.List;

/**
 * The configuration of a {@link Router}. Durations are in nanoseconds.
 *
 * @param classes the request classes, by index
 * @param limits the actions that the deployment allows, and their bounds
 * @param safetyLimits the bounds of slow start and of purges
 * @param dispatcherCount number of dispatchers that share the endpoints
 * @param zone index of the router's own zone
 * @param parentZoneByZone for each zone, the index of the zone whose parents are near it
 * @param parentKind the {@link Endpoint#kind} of parents
 * @param originKind the {@link Endpoint#kind} of the origin; every other kind is a cache
 * @param weighted whether cache selection uses endpoint weights
 * @param watchesEndpointList whether the router has to subscribe to the endpoint list
 * @param collapsesRequests whether caches may collapse requests into one fill
 * @param directOriginAllowed whether requests may go to a parent or the origin without passing
 *     through a cache
 * @param transferKbPerSecond rate of a single transfer in KB/s; 0 if not known
 * @param timerTickNs granularity of timers
 */
public record RouterSettings(
        List<RequestClass> classes,
        Limits limits,
        SafetyLimits safetyLimits,
        int dispatcherCount,
        int zone,
        List<Integer> parentZoneByZone,
        int parentKind,
        int originKind,
        boolean weighted,
        boolean watchesEndpointList,
        boolean collapsesRequests,
        boolean directOriginAllowed,
        double transferKbPerSecond,
        long timerTickNs) {

    /**
     * A class of requests.
     *
     * @param latencyObjectiveNs time within which a response should be complete
     * @param latencyObjectiveWorkFactor multiple of the request's work that is added to the
     *     objective
     * @param idempotency whether a request may be executed more than once
     * @param idempotencyScope the endpoints that share idempotency keys
     * @param idempotencyWindowNs how long endpoints remember an idempotency key
     * @param passThrough whether responses are never cached
     * @param freshnessLifetimeNs maximum age of a copy; 0 means fresh until purged
     */
    public record RequestClass(
            long latencyObjectiveNs,
            double latencyObjectiveWorkFactor,
            Idempotency idempotency,
            IdempotencyScope idempotencyScope,
            long idempotencyWindowNs,
            boolean passThrough,
            long freshnessLifetimeNs) {}

    /**
     * The actions that the deployment allows, and their bounds.
     *
     * @param cancelAllowed whether attempts in flight may be cancelled
     * @param hedgingAllowed whether a second attempt may run beside the first
     * @param retryAfterSent whether rejections carry a Retry-After
     * @param maxAttempts maximum number of attempts of one request; at least one is made
     * @param maxRetryAfterNs the longest Retry-After allowed, which every rejection states if
     *     {@code retryAfterSent} is true
     * @param connectTimeoutNs time after which a connection that is not established fails
     */
    public record Limits(
            boolean cancelAllowed,
            boolean hedgingAllowed,
            boolean retryAfterSent,
            int maxAttempts,
            long maxRetryAfterNs,
            long connectTimeoutNs) {}

    /**
     * The bounds of slow start and of purges.
     *
     * @param initialCapacity share of its capacity that a cache has when it starts
     * @param warmUpNs time after its start from which a cache has its full capacity
     * @param overloadMultiple multiple of its present capacity at which a cache that is warming up
     *     collapses
     * @param overloadWindowNs time over which the overload multiple is measured
     * @param parentInitialCapacity as {@code initialCapacity}, for parents
     * @param parentWarmUpNs as {@code warmUpNs}, for parents
     * @param parentOverloadMultiple as {@code overloadMultiple}, for parents
     * @param purgeWindowNs time within which every cache has applied a purge
     */
    public record SafetyLimits(
            double initialCapacity,
            long warmUpNs,
            double overloadMultiple,
            long overloadWindowNs,
            double parentInitialCapacity,
            long parentWarmUpNs,
            double parentOverloadMultiple,
            long purgeWindowNs) {}
}
