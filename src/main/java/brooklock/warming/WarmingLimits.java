package brooklock.warming;

import brooklock.routing.SlowStart;

/**
 * What the settings allow, and the capacity of caches that are warming up.
 *
 * @param crossZone whether caches of all zones may fill one another, not only those of the own zone
 * @param peerShare share of a peer's free capacity that all dispatchers together may use, above 0
 *     and up to 1
 * @param warmCapacityPerNs requests per ns, of mean size, that a warm cache can serve; 0 if not
 *     known, then this dispatcher's own traffic to a warm cache stands for its part
 * @param dispatcherCount dispatchers that may send requests
 * @param initialCapacity share of its capacity that a cache has right after its start, above 0 and
 *     up to 1
 * @param warmUpNs time from a cache's start until it has its whole capacity
 * @param overloadMultiple multiple of its current capacity that overloads a cache
 * @param overloadWindowNs the window over which that load is measured
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
     * Checks the ranges.
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
            throw new IllegalArgumentException("warming limits out of range");
        }
    }

    /**
     * This dispatcher's part of a warm cache's capacity, in requests per ns; the parts of all
     * dispatchers together are no more than the capacity.
     *
     * @param ownRatePerNs requests per ns that this dispatcher itself sends to a warm cache
     */
    public double dispatcherSharePerNs(double ownRatePerNs) {
        return warmCapacityPerNs > 0 ? warmCapacityPerNs / dispatcherCount : ownRatePerNs;
    }

    /**
     * How long an unused permit lasts, in ns: half the window, so that permits of two windows do
     * not add up in one.
     */
    long permitLifetimeNs() {
        return overloadWindowNs / 2;
    }

    /** Share of its capacity that a cache has for certain at an age, given in ns. */
    public double capacityAt(long ageNs) {
        return SlowStart.capacityShareAt(ageNs, initialCapacity, warmUpNs);
    }
}
