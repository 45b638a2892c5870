package brooklock.routing;

import brooklock.routing.RouterSettings.SafetyLimits;
import java.util.List;

/**
 * Slow start: the budget of a cache or parent that is warming up.
 *
 * <p>Inputs: start times from the endpoint list or from lost connections, the stated capacities,
 * and what warm peers served through this dispatcher.
 *
 * <p>The capacity of an endpoint is taken to rise in a line, from the stated share at its start to
 * all of it after the stated time. Its budget grows with that capacity times the work that this
 * dispatcher gives a warm peer of its size, times a part of the stated overload multiple. Each
 * request or fill that names it is taken from the budget; where the budget does not cover one, the
 * endpoint is passed over.
 *
 * <p>This prevents that an endpoint collapses under its full share right after its start, which
 * shows as an endpoint that starts again and again. It holds without a message between dispatchers:
 * together they cannot give a warm peer more than its capacity, so the sum of their budgets stays
 * under the overload multiple.
 */
public final class SlowStart {
    /** Part of the overload multiple that all dispatchers together plan to use. */
    private static final double PLANNED_OVERLOAD_SHARE = 0.6;

    /** Multiple of its present capacity that is planned at most: more would only be late. */
    private static final double MAX_PLANNED_MULTIPLE = 1.3;

    /** Span of the measured rates, ns: longer than a burst, shorter than a start. */
    private static final double RATE_SPAN_NS = 8e9;

    private final Peers caches;
    private final Peers parents;
    private final long overloadWindowNs;
    private final WorkEstimator workEstimator;

    SlowStart(RouterSettings settings, EndpointTable endpoints, WorkEstimator workEstimator) {
        SafetyLimits limits = settings.safetyLimits();
        caches =
                new Peers(
                        endpoints.localCaches(),
                        limits.initialCapacity(),
                        limits.warmUpNs(),
                        limits.overloadMultiple());
        parents =
                new Peers(
                        endpoints.nearParents(),
                        limits.parentInitialCapacity(),
                        limits.parentWarmUpNs(),
                        limits.parentOverloadMultiple());
        overloadWindowNs = limits.overloadWindowNs();
        this.workEstimator = workEstimator;
    }

    /**
     * Share of its capacity that an endpoint surely has.
     *
     * @param ageNs time since its start, ns
     * @param initialCapacity share of its capacity at its start
     * @param warmUpNs time after which it has all of it, ns
     */
    public static double capacityShareAt(long ageNs, double initialCapacity, long warmUpNs) {
        return ageNs >= warmUpNs
                ? 1
                : initialCapacity + (1 - initialCapacity) * Math.max(0, ageNs) / warmUpNs;
    }

    /**
     * Multiple of its present capacity that all dispatchers together plan to give an endpoint.
     *
     * @param overloadMultiple multiple that overloads it
     */
    public static double plannedCapacityMultiple(double overloadMultiple) {
        return Math.min(MAX_PLANNED_MULTIPLE, overloadMultiple * PLANNED_OVERLOAD_SHARE);
    }

    /** The endpoints that are warm have changed with the list. */
    void onListChanged() {
        caches.warmUntilNs = Long.MIN_VALUE;
        parents.warmUntilNs = Long.MIN_VALUE;
    }

    /** The endpoint is taken for started anew, with an empty budget. */
    void restart(RoutedEndpoint endpoint, long now) {
        endpoint.startedAtNs = now;
        endpoint.slowStartBudgetNs = 0;
        onListChanged();
    }

    /**
     * Whether an endpoint is warm, or its budget covers a request of this class; refills the budget
     * up to now first.
     */
    boolean canAfford(RoutedEndpoint endpoint, PendingRequest request, long now) {
        Peers peers = peersOf(endpoint);
        double capacity = peers.capacityOf(endpoint, now);
        if (capacity >= 1 || (!endpoint.isCache && !endpoint.isParent)) {
            return true;
        }
        double cost = workEstimator.classMeanNs(request);
        refill(endpoint, peers, capacity, cost, now);
        return endpoint.slowStartBudgetNs >= cost;
    }

    /**
     * Adds what the budget has earned since it was refilled last; it may always hold one request.
     */
    private void refill(
            RoutedEndpoint endpoint, Peers peers, double capacity, double costNs, long now) {
        // While none is warm the rate stands as it was measured last: decay would shut the budgets.
        long measuredAt = peers.warmWeight(now) > 0 ? now : peers.rate.updatedAtNs();
        double warmPeerRate = peers.rate.ratePerNs(measuredAt) * endpoint.weight;
        double refillRate = warmPeerRate * capacity * peers.plannedMultiple;
        double maxBudgetNs = Math.max(refillRate * overloadWindowNs / 2, costNs);
        long refilledAtNs = Math.max(endpoint.slowStartUpdatedAtNs, endpoint.startedAtNs);
        endpoint.slowStartBudgetNs =
                Math.min(
                        maxBudgetNs,
                        endpoint.slowStartBudgetNs + refillRate * (now - refilledAtNs));
        endpoint.slowStartUpdatedAtNs = now;
    }

    /**
     * Takes a request from the budget; what only looks for a copy counts too. The budget of a warm
     * endpoint only falls and is not read; a new start sets it to 0.
     */
    void spend(RoutedEndpoint endpoint, PendingRequest request) {
        endpoint.slowStartBudgetNs -= workEstimator.classMeanNs(request);
    }

    /** Gives back what a fill source was not needed for. */
    void refund(RoutedEndpoint endpoint, PendingRequest request) {
        endpoint.slowStartBudgetNs += workEstimator.classMeanNs(request);
    }

    /**
     * Adds what a warm endpoint served to the rate of one of unit size. It is divided by the
     * endpoints that were warm then, not by those left later: when most of a zone leaves, the rest
     * has not grown.
     */
    void onServed(RoutedEndpoint endpoint, PendingRequest request, long now) {
        Peers peers = peersOf(endpoint);
        double warmWeight = peers.warmWeight(now);
        if (warmWeight > 0
                && endpoint.state == EndpointState.READY
                && peers.capacityOf(endpoint, now) >= 1) {
            peers.rate.add(workEstimator.classMeanNs(request) / warmWeight, now);
        }
    }

    private Peers peersOf(RoutedEndpoint endpoint) {
        return endpoint.isParent ? parents : caches;
    }

    /** Caches or parents: how they warm up, and what the warm ones serve. */
    private static final class Peers {
        final List<RoutedEndpoint> endpoints;
        final double initialCapacity;
        final long warmUpNs;
        final double plannedMultiple;
        final DecayingRate rate = new DecayingRate(RATE_SPAN_NS);
        double warmWeight;
        long warmUntilNs = Long.MIN_VALUE;

        Peers(
                List<RoutedEndpoint> endpoints,
                double initialCapacity,
                long warmUpNs,
                double overloadMultiple) {
            this.endpoints = endpoints;
            this.initialCapacity = initialCapacity;
            this.warmUpNs = warmUpNs;
            plannedMultiple = plannedCapacityMultiple(overloadMultiple);
        }

        /** Share of its capacity that an endpoint surely has by now. */
        double capacityOf(RoutedEndpoint endpoint, long now) {
            return endpoint.startedAtNs == 0
                    ? 1
                    : capacityShareAt(now - endpoint.startedAtNs, initialCapacity, warmUpNs);
        }

        /** Weight of all that are warm, kept until the list, a restart or time changes it. */
        double warmWeight(long now) {
            if (now >= warmUntilNs) {
                // DoubleStream.sum compensates rounding errors; a plain loop sums otherwise.
                warmWeight =
                        endpoints.stream()
                                .filter(endpoint -> capacityOf(endpoint, now) >= 1)
                                .mapToDouble(endpoint -> endpoint.weight)
                                .sum();
                warmUntilNs = Long.MAX_VALUE;
                for (RoutedEndpoint endpoint : endpoints) {
                    if (capacityOf(endpoint, now) < 1) {
                        warmUntilNs = Math.min(warmUntilNs, endpoint.startedAtNs + warmUpNs);
                    }
                }
            }
            return warmWeight;
        }
    }
}
