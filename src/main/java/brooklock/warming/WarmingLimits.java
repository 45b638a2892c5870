package brooklock.warming;

import brooklock.routing.SlowStart;

/**
 * The limits of warming from the settings, and the capacity of a cache that is warming up.
 * Immutable.
 *
 * @param crossZone whether caches may be filled from peers in other zones
 * @param peerShare share of a peer's free capacity that all dispatchers together may use, above 0
 *     and at most 1
 * @param warmCapacityPerNs requests of mean size that a warm cache can serve per ns; 0 if unknown,
 *     in which case this dispatcher's own traffic to a warm cache is used as its portion
 * @param dispatcherCount number of dispatchers that may send requests, above 0
 * @param initialCapacity share of its capacity that a cache has right after its start, above 0 and
 *     at most 1
 * @param warmUpNs time from a cache's start until it has its full capacity, in ns, above 0
 * @param overloadMultiple load that overloads a cache, as a multiple of its current capacity, at
 *     least 0
 * @param overloadWindowNs window over which the load is compared with {@code overloadMultiple}, in
 *     ns, above 0
 */
public record WarmingLimits(
        boolean crossZone,
        double peerShare,
        double warmCapacityPerNs,
        int dispatcherCount,
        double initialCapacity,
        long warmUpNs,
        double overloadMultiple,
        long overloadWindowNs) {
    /**
     * Creates new limits.
     *
     * @throws IllegalArgumentException if a value is out of its range
     */
    public WarmingLimits {
        if (!(peerShare > 0 && peerShare <= 1)
                || !(warmCapacityPerNs >= 0)
                || dispatcherCount <= 0
                || !(initialCapacity > 0 && initialCapacity <= 1)
                || warmUpNs <= 0
                || overloadMultiple < 0
                || overloadWindowNs <= 0) {
            throw new IllegalArgumentException(
                    ("expected peerShare and initialCapacity above 0 and up to 1, dispatcherCount,"
                                    + " warmUpNs and overloadWindowNs above 0, warmCapacityPerNs"
                                    + " and overloadMultiple of at least 0 but received peerShare"
                                    + " %s, initialCapacity %s, dispatcherCount %s, warmUpNs %s,"
                                    + " overloadWindowNs %s, warmCapacityPerNs %s,"
                                    + " overloadMultiple %s")
                            .formatted(
                                    peerShare,
                                    initialCapacity,
                                    dispatcherCount,
                                    warmUpNs,
                                    overloadWindowNs,
                                    warmCapacityPerNs,
                                    overloadMultiple));
        }
    }

    /**
     * Returns this dispatcher's portion of the capacity of a warm cache, in requests per ns. The
     * portions of all dispatchers together do not exceed the capacity.
     *
     * @param ownRatePerNs rate at which this dispatcher sends requests to a warm cache, in requests
     *     per ns
     */
    public double dispatcherCapacityPerNs(double ownRatePerNs) {
        return warmCapacityPerNs > 0 ? warmCapacityPerNs / dispatcherCount : ownRatePerNs;
    }

    /**
     * Returns the time after which an unused permit expires, in ns. It is half the overload window,
     * so that the permits of two windows cannot be spent in one.
     */
    long permitLifetimeNs() {
        return overloadWindowNs / 2;
    }

    /**
     * Returns the minimum share of its full capacity that a cache has at the given age.
     *
     * @param ageNs time since the cache's start, in ns
     */
    public double capacityAt(long ageNs) {
        return SlowStart.capacityShareAt(ageNs, initialCapacity, warmUpNs);
    }
}
