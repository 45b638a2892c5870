package brooklock.routing;

import brooklock.routing.RouterSettings.SafetyLimits;
import java.util.List;

/**
 * Slow start: limits the work of caches and parents that are warming up.
 *
 * <p>Inputs: start times from the endpoint list or inferred from lost connections, the configured
 * capacities, and the work that warm peers served for this dispatcher.
 *
 * <p>The capacity of an endpoint is assumed to rise linearly, from the configured share at its
 * start to full capacity after the configured time. Its budget is refilled at a rate that is the
 * product of three factors: the rate of the work that a warm peer of the same weight serves for
 * this dispatcher, the present share of the capacity, and a planned multiple. The planned multiple
 * is below the multiple that overloads the endpoint. Each request or fill that names the endpoint
 * is charged to the budget; an endpoint whose budget does not cover a request is passed over.
 *
 * <p>Without slow start, an endpoint that receives its full share right after its start may
 * collapse and restart again and again. Dispatchers exchange no messages for this: together they
 * cannot send a warm peer more than its capacity, so the sum of their budgets stays below the
 * multiple that overloads an endpoint.
 */
public final class SlowStart {
    /** Share of the overload multiple that all dispatchers together plan to use. */
    private static final double PLANNED_OVERLOAD_SHARE = 0.6;

    /** Maximum planned multiple of an endpoint's present capacity: more work would only be late. */
    private static final double MAX_PLANNED_MULTIPLE = 1.3;

    /**
     * Time constant of the measured rates in nanoseconds: longer than a burst, shorter than a
     * warm-up.
     */
    private static final double RATE_TIME_CONSTANT_NS = 8e9;

    private final PeerGroup caches;
    private final PeerGroup parents;
    private final long overloadWindowNs;
    private final WorkEstimator workEstimator;

    SlowStart(RouterSettings settings, EndpointTable endpoints, WorkEstimator workEstimator) {
        SafetyLimits limits = settings.safetyLimits();
        caches =
                new PeerGroup(
                        endpoints.localCaches(),
                        limits.initialCapacity(),
                        limits.warmUpNs(),
                        limits.overloadMultiple());
        parents =
                new PeerGroup(
                        endpoints.nearParents(),
                        limits.parentInitialCapacity(),
                        limits.parentWarmUpNs(),
                        limits.parentOverloadMultiple());
        overloadWindowNs = limits.overloadWindowNs();
        this.workEstimator = workEstimator;
    }

    /**
     * Returns the share of its capacity that an endpoint is assumed to have.
     *
     * @param ageNs time since the endpoint's start, in nanoseconds
     * @param initialCapacity share of its capacity that the endpoint has at its start
     * @param warmUpNs time after its start from which the endpoint has its full capacity, in
     *     nanoseconds
     */
    public static double capacityShareAt(long ageNs, double initialCapacity, long warmUpNs) {
        return ageNs >= warmUpNs
                ? 1
                : initialCapacity + (1 - initialCapacity) * Math.max(0, ageNs) / warmUpNs;
    }

    /**
     * Returns the multiple of its present capacity that all dispatchers together plan to send to an
     * endpoint.
     *
     * @param overloadMultiple multiple of its present capacity that overloads an endpoint
     */
    public static double plannedCapacityMultiple(double overloadMultiple) {
        return Math.min(MAX_PLANNED_MULTIPLE, overloadMultiple * PLANNED_OVERLOAD_SHARE);
    }

    /**
     * Marks the weights of the warm endpoints as outdated, so that they are recomputed at their
     * next use. Must be called when the endpoint list changes or an endpoint restarts.
     */
    void invalidateWarmWeights() {
        caches.warmWeightValidUntilNs = Long.MIN_VALUE;
        parents.warmWeightValidUntilNs = Long.MIN_VALUE;
    }

    /** Treats an endpoint as restarted, with an empty budget. */
    void restart(RoutedEndpoint endpoint, long now) {
        endpoint.startedAtNs = now;
        endpoint.slowStartBudgetNs = 0;
        invalidateWarmWeights();
    }

    /**
     * Refills the endpoint's budget up to now and returns whether it covers a request of this
     * class. A warm endpoint needs no budget.
     */
    boolean budgetCovers(RoutedEndpoint endpoint, PendingRequest request, long now) {
        PeerGroup peers = peerGroupOf(endpoint);
        double capacityShare = peers.capacityShareOf(endpoint, now);
        if (capacityShare >= 1 || (!endpoint.isCache && !endpoint.isParent)) {
            return true;
        }
        double costNs = workEstimator.classMeanNs(request);
        refill(endpoint, peers, capacityShare, costNs, now);
        return endpoint.slowStartBudgetNs >= costNs;
    }

    /**
     * Adds the work that the budget has gained since its last refill. The maximum of the budget is
     * at least the cost of one request.
     */
    private void refill(
            RoutedEndpoint endpoint,
            PeerGroup peers,
            double capacityShare,
            double costNs,
            long now) {
        // While no peer is warm, the last measured rate applies: decay would exhaust the budgets.
        long measuredAt = peers.warmWeight(now) > 0 ? now : peers.servedRate.updatedAtNs();
        double warmPeerRate = peers.servedRate.ratePerNs(measuredAt) * endpoint.weight;
        double refillRate = warmPeerRate * capacityShare * peers.plannedCapacityMultiple;
        double maxBudgetNs = Math.max(refillRate * overloadWindowNs / 2, costNs);
        long refilledAtNs = Math.max(endpoint.slowStartUpdatedAtNs, endpoint.startedAtNs);
        endpoint.slowStartBudgetNs =
                Math.min(
                        maxBudgetNs,
                        endpoint.slowStartBudgetNs + refillRate * (now - refilledAtNs));
        endpoint.slowStartUpdatedAtNs = now;
    }

    /**
     * Charges a request to the budget, even if it only looks up a cached copy. The budget of a warm
     * endpoint is charged, too, but never refilled or checked; a restart resets it to 0.
     */
    void charge(RoutedEndpoint endpoint, PendingRequest request) {
        endpoint.slowStartBudgetNs -= workEstimator.classMeanNs(request);
    }

    /** Refunds a request for which the fill source was not needed. */
    void refund(RoutedEndpoint endpoint, PendingRequest request) {
        endpoint.slowStartBudgetNs += workEstimator.classMeanNs(request);
    }

    /**
     * Adds the work that a warm endpoint served to the rate of an endpoint of weight 1. The work is
     * divided by the total weight of the endpoints that are warm at that time. Dividing by the
     * weight of those that remain later would overestimate their capacity after most of a zone has
     * left.
     */
    void onServed(RoutedEndpoint endpoint, PendingRequest request, long now) {
        PeerGroup peers = peerGroupOf(endpoint);
        double warmWeight = peers.warmWeight(now);
        if (warmWeight > 0
                && endpoint.state == EndpointState.READY
                && peers.capacityShareOf(endpoint, now) >= 1) {
            peers.servedRate.add(workEstimator.classMeanNs(request) / warmWeight, now);
        }
    }

    private PeerGroup peerGroupOf(RoutedEndpoint endpoint) {
        return endpoint.isParent ? parents : caches;
    }

    /**
     * The local caches or the near parents, with their warm-up settings and the rate at which the
     * warm ones serve.
     */
    private static final class PeerGroup {
        final List<RoutedEndpoint> endpoints;
        final double initialCapacity;
        final long warmUpNs;
        final double plannedCapacityMultiple;
        final DecayingRate servedRate = new DecayingRate(RATE_TIME_CONSTANT_NS);
        double warmWeight;
        long warmWeightValidUntilNs = Long.MIN_VALUE;

        PeerGroup(
                List<RoutedEndpoint> endpoints,
                double initialCapacity,
                long warmUpNs,
                double overloadMultiple) {
            this.endpoints = endpoints;
            this.initialCapacity = initialCapacity;
            this.warmUpNs = warmUpNs;
            plannedCapacityMultiple = plannedCapacityMultiple(overloadMultiple);
        }

        /**
         * Returns the share of its capacity that an endpoint is assumed to have at the given time.
         */
        double capacityShareOf(RoutedEndpoint endpoint, long now) {
            return endpoint.startedAtNs == 0
                    ? 1
                    : capacityShareAt(now - endpoint.startedAtNs, initialCapacity, warmUpNs);
        }

        /**
         * Returns the total weight of the warm endpoints. The value is cached until the endpoint
         * list changes, an endpoint restarts or a warm-up ends.
         */
        double warmWeight(long now) {
            if (now >= warmWeightValidUntilNs) {
                // DoubleStream.sum compensates rounding errors; a plain loop would differ from it.
                warmWeight =
                        endpoints.stream()
                                .filter(endpoint -> capacityShareOf(endpoint, now) >= 1)
                                .mapToDouble(endpoint -> endpoint.weight)
                                .sum();
                warmWeightValidUntilNs = Long.MAX_VALUE;
                for (RoutedEndpoint endpoint : endpoints) {
                    if (capacityShareOf(endpoint, now) < 1) {
                        warmWeightValidUntilNs =
                                Math.min(warmWeightValidUntilNs, endpoint.startedAtNs + warmUpNs);
                    }
                }
            }
            return warmWeight;
        }
    }
}
