package brooklock.routing;

import java.util.List;

/**
 * Everything a {@link Router} is configured with. Durations are in nanoseconds.
 *
 * @param classes the request classes, by index
 * @param limits what the deployment allows
 * @param safetyLimits the bounds of the overload and purge rules
 * @param dispatcherCount dispatchers that share the endpoints
 * @param zone index of the router's own zone
 * @param parentZoneByZone for each zone the zone whose parents are near to it
 * @param parentKind the {@link Endpoint#kind} of parents
 * @param originKind the {@link Endpoint#kind} of the origin; every other kind is a cache
 * @param weighted whether endpoint weights count in cache selection
 * @param watchesEndpointList whether the router has to subscribe to the endpoint list
 * @param collapsesRequests whether caches may collapse requests into one fill
 * @param directOriginAllowed whether requests may go to a parent or the origin without a cache
 *     between
 * @param transferKbPerSecond pace of one transfer in KB/s; 0 if not known
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
     * One class of requests.
     *
     * @param latencyObjectiveNs time in which a response should come
     * @param latencyObjectiveWorkFactor multiple of the request's work added to the objective
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
     * What the deployment allows.
     *
     * @param cancelAllowed whether attempts in flight may be cancelled
     * @param hedgingAllowed whether a second attempt may run beside the first
     * @param retryAfterSent whether rejections carry a Retry-After
     * @param maxAttempts attempts of one request; at least one is made
     * @param maxRetryAfterNs the Retry-After of a rejection
     * @param connectTimeoutNs time in which a connection comes up or fails
     */
    public record Limits(
            boolean cancelAllowed,
            boolean hedgingAllowed,
            boolean retryAfterSent,
            int maxAttempts,
            long maxRetryAfterNs,
            long connectTimeoutNs) {}

    /**
     * The bounds of the rules on endpoints that are warming up, and on purges.
     *
     * @param initialCapacity share of its capacity that a cache has when it starts
     * @param warmUpNs time after which a cache has all of it
     * @param overloadMultiple multiple of its capacity at which a warming cache collapses
     * @param overloadWindowNs time over which that multiple is measured
     * @param parentInitialCapacity as {@code initialCapacity}, for parents
     * @param parentWarmUpNs as {@code warmUpNs}, for parents
     * @param parentOverloadMultiple as {@code overloadMultiple}, for parents
     * @param purgeWindowNs time within which caches have applied a purge
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
