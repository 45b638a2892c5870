package brooklock.faulttest;

import brooklock.routing.Endpoint;
import brooklock.routing.EndpointState;
import brooklock.routing.RouterAction.StartAttempt;
import brooklock.routing.RouterEvent.PurgeReceived;
import brooklock.routing.RouterEvent.RequestReceived;
import brooklock.routing.RouterSettings;
import brooklock.routing.RouterSettings.RequestClass;
import brooklock.testserver.TestServer;
import java.util.HashMap;
import java.util.Map;

/**
 * Chooses the endpoint and the fill source with the lowest expected latency for {@link
 * OracleRouter}, based on the true state of the test servers. Used on the routing thread only.
 */
final class OracleSelector {
    /**
     * Assumed duration of a transfer at full rate, since the size of a response is not known in
     * advance.
     */
    static final double NOMINAL_TRANSFER_NS = 100e6;

    /** Expected delay that a failed attempt causes. */
    private static final double FAILURE_COST_NS = 500e6;

    /**
     * Upper bound of the pseudo-random cost that is added for each pair of part and endpoint. It
     * distributes the parts over endpoints whose costs are equal otherwise.
     */
    private static final double TIE_BREAK_NS = 20e6;

    /** Cost of an endpoint that must not or cannot be used. */
    private static final double UNUSABLE_NS = 1e18;

    /** Cost from which a choice is treated as unusable; sums of real costs are far below it. */
    private static final double MAX_USABLE_NS = 1e17;

    /**
     * Maximum load, as a share of the current overload limit, at which an endpoint that is warming
     * up is used.
     */
    private static final double MAX_WARM_UP_LOAD = 0.75;

    /**
     * Maximum utilization at which an endpoint is used for objects that were not requested
     * recently.
     */
    private static final double MAX_USE_FIRST_REQUEST = 0.85;

    /** Maximum utilization at which an endpoint is used for recently requested objects. */
    private static final double MAX_USE_RECENT = 0.93;

    /** Maximum utilization at which an endpoint is used for pass-through requests. */
    private static final double MAX_USE_PASS_THROUGH = 0.99;

    private static final int PRIORITY_FIRST_REQUEST = 1;
    private static final int PRIORITY_RECENT = 2;

    /** Time for which a purge is remembered after the end of the purge window. */
    private static final long PURGE_MEMORY_NS = 1_000_000_000L;

    /** A candidate endpoint with its fill source and expected latency. */
    private record Choice(Endpoint endpoint, Endpoint source, double costNs) {}

    private final RouterSettings settings;
    private final GroundTruth groundTruth;
    private final Map<Long, Endpoint> endpoints;
    private final long clockToleranceNs;

    /** Time of the last purge of each object, or of each group under its {@link #groupKey}. */
    private final Map<Long, Long> purges = new HashMap<>();

    /** Creates a selector among {@code endpoints}, a live map that the router updates. */
    OracleSelector(
            RouterSettings settings,
            GroundTruth groundTruth,
            Map<Long, Endpoint> endpoints,
            long clockToleranceNs) {
        this.settings = settings;
        this.groundTruth = groundTruth;
        this.endpoints = endpoints;
        this.clockToleranceNs = clockToleranceNs;
    }

    void onPurge(long now, PurgeReceived purge) {
        long key = purge.object() != 0 ? purge.object() : groupKey(purge.group());
        purges.merge(key, now - purge.ageNs(), Math::max);
    }

    private static long groupKey(int group) {
        return -1L - group;
    }

    /**
     * Returns the attempt with the lowest expected latency, or null if no endpoint can be used.
     *
     * @param remainingNs time until the deadline of the request
     */
    StartAttempt cheapest(
            long now, OracleRequest pending, RequestClass requestClass, long remainingNs) {
        long maxAgeNs = maxAgeNs(now, pending.request, requestClass);
        boolean passThrough = requestClass.passThrough();
        Choice best = new Choice(null, null, Double.MAX_VALUE);
        for (Endpoint endpoint : endpoints.values()) {
            boolean origin = endpoint.kind() == settings.originKind();
            boolean localCache =
                    !origin
                            && endpoint.kind() != settings.parentKind()
                            && endpoint.zone() == settings.zone();
            if (passThrough ? !origin : !localCache) {
                continue;
            }
            double costNs = costNs(endpoint, pending, passThrough);
            Choice choice =
                    passThrough || hasCopy(endpoint, pending.request, maxAgeNs)
                            ? new Choice(endpoint, endpoint, costNs)
                            : cheapestFill(endpoint, costNs, pending, maxAgeNs);
            if (choice.costNs < best.costNs) {
                best = choice;
            }
        }
        if (best.endpoint == null || best.costNs >= MAX_USABLE_NS) {
            return null;
        }
        int priority = pending.recentlyRequested ? PRIORITY_RECENT : PRIORITY_FIRST_REQUEST;
        return new StartAttempt(
                pending.request.id(),
                best.endpoint.id(),
                remainingNs,
                best.source.id(),
                passThrough ? 0 : priority,
                maxAgeNs,
                !passThrough,
                false,
                remainingNs);
    }

    private Choice cheapestFill(
            Endpoint endpoint, double endpointCostNs, OracleRequest pending, long maxAgeNs) {
        boolean joinsFill = isFilling(endpoint, pending.request);
        Choice best = new Choice(endpoint, null, Double.MAX_VALUE);
        for (Endpoint source : endpoints.values()) {
            boolean parent = source.kind() == settings.parentKind();
            if (!parent && source.kind() != settings.originKind()) {
                continue;
            }
            // A request that joins a fill in progress causes no load on the fill source.
            double sourceCostNs =
                    joinsFill && parent && source.state() == EndpointState.READY
                            ? NOMINAL_TRANSFER_NS
                            : costNs(source, pending, false);
            double totalNs =
                    endpointCostNs
                            + sourceCostNs
                            + upstreamCostNs(source, pending, parent, joinsFill, maxAgeNs);
            if (totalNs < best.costNs) {
                best = new Choice(endpoint, source, totalNs);
            }
        }
        return best;
    }

    // Returns the expected time that the fill source needs to obtain the object before it can send
    // it. The origin has the object, but a penalty makes it the last choice: a fill through a
    // parent leaves a copy there that serves all zones.
    private double upstreamCostNs(
            Endpoint source,
            OracleRequest pending,
            boolean parent,
            boolean joinsFill,
            long maxAgeNs) {
        if (!parent) {
            return FAILURE_COST_NS;
        }
        boolean available =
                joinsFill
                        || hasCopy(source, pending.request, maxAgeNs)
                        || isFilling(source, pending.request);
        return available ? 0 : originCostNs(pending);
    }

    private double originCostNs(OracleRequest pending) {
        return endpoints.values().stream()
                .filter(endpoint -> endpoint.kind() == settings.originKind())
                .mapToDouble(endpoint -> costNs(endpoint, pending, false))
                .min()
                .orElse(UNUSABLE_NS);
    }

    // Returns the expected response time of an endpoint, not including the time of a fill.
    private double costNs(Endpoint endpoint, OracleRequest pending, boolean passThrough) {
        TestServer server = server(endpoint);
        double maxUse =
                passThrough
                        ? MAX_USE_PASS_THROUGH
                        : pending.recentlyRequested ? MAX_USE_RECENT : MAX_USE_FIRST_REQUEST;
        if (endpoint.state() != EndpointState.READY
                || !server.isUp()
                || server.utilization() > maxUse
                || server.warmUpLoad() > MAX_WARM_UP_LOAD) {
            return UNUSABLE_NS;
        }
        double failureShare =
                Math.min(
                        0.99,
                        server.faults.lostShare
                                + server.faults.errorShare
                                + server.faults.rejectShare
                                + server.faults.truncatedShare);
        return NOMINAL_TRANSFER_NS / Math.max(1e-3, server.nextTransferRateShare())
                + failureShare / (1 - failureShare) * FAILURE_COST_NS
                + (pending.failedEndpoints.contains(endpoint.id()) ? FAILURE_COST_NS : 0)
                + TIE_BREAK_NS * tieBreakShare(pending.request, endpoint.id());
    }

    // Returns a pseudo-random number from 0 to 1 that is always the same for a part and an
    // endpoint.
    private static double tieBreakShare(RequestReceived request, long endpoint) {
        long x =
                (request.object() * 31 + request.part()) * 0x9e3779b97f4a7c15L
                        ^ endpoint * 0xbf58476d1ce4e5b9L;
        x = (x ^ (x >>> 31)) * 0x94d049bb133111ebL;
        return (x >>> 11) * 0x1p-53;
    }

    private TestServer server(Endpoint endpoint) {
        return groundTruth.servers.get(endpoint.id());
    }

    private boolean isFilling(Endpoint endpoint, RequestReceived request) {
        return server(endpoint).isFilling(request.object(), request.part());
    }

    private boolean hasCopy(Endpoint endpoint, RequestReceived request, long maxAgeNs) {
        long ageNs = server(endpoint).copyAgeNs(request.object(), request.part());
        return ageNs >= 0 && (maxAgeNs == 0 || ageNs < maxAgeNs);
    }

    // Returns the maximum age in ns of a copy that may be served; 0 if copies of any age may be.
    private long maxAgeNs(long now, RequestReceived request, RequestClass requestClass) {
        long memoryNs = settings.safetyLimits().purgeWindowNs() + PURGE_MEMORY_NS;
        purges.values().removeIf(purgedNs -> now - purgedNs > memoryNs);
        long purgedNs =
                Math.max(
                        purges.getOrDefault(request.object(), Long.MIN_VALUE),
                        purges.getOrDefault(groupKey(request.group()), Long.MIN_VALUE));
        long freshNs = requestClass.freshnessLifetimeNs();
        if (purgedNs == Long.MIN_VALUE) {
            return Math.max(0, freshNs);
        }
        long sincePurgeNs = Math.max(1, now - purgedNs - clockToleranceNs);
        return freshNs > 0 ? Math.min(freshNs, sincePurgeNs) : sincePurgeNs;
    }
}
