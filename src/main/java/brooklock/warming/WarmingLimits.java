package brooklock.warming;

/**
 * What an installation allows, and the figures that the rule on cold hosts goes by.
 *
 * @param anyZone neighbours of all locations may give, else those of the own location only
 * @param neighbourShare share of what a neighbour has to spare that all dispatchers together may
 *     ask of it
 * @param bearsPerNs requests a ns, of mean size, that a warm cache bears; 0 where it is not known,
 *     then what this dispatcher sends a warm cache itself stands for its part of that
 * @param dispatchers how many may send
 * @param coldFrom share of its capacity that a cache has right after its start
 * @param coldNs time until it has all of it
 * @param fallMultiple multiple of what it can do that pushes it over
 * @param overloadNs the span over which that is reckoned
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
    /** Checks the figures. */
    public WarmingLimits {
        if (!(peerShare > 0 && peerShare <= 1)
                || !(warmCapacityPerNs >= 0)
                || dispatcherCount <= 0
                || !(initialCapacity > 0 && initialCapacity <= 1)
                || warmUpNs <= 0
                || overloadMultiple < 0
                || overloadWindowNs <= 0) {
            throw new IllegalArgumentException("figures of warming that cannot be");
        }
    }

    /**
     * This dispatcher's part of what a warm cache bears: all parts together are no more than that.
     *
     * @param ownPerNs requests a ns that this dispatcher sends a warm cache itself
     */
    public double dispatcherSharePerNs(double ownPerNs) {
        return warmCapacityPerNs > 0 ? warmCapacityPerNs / dispatcherCount : ownPerNs;
    }

    /**
     * How long a permission lasts that is not used: half the span over which too much is reckoned.
     */
    long permitLifetimeNs() {
        return overloadWindowNs / 2;
    }

    /** Share of its capacity that a cache surely has at an age. */
    public double capacityAt(long ageNs) {
        return ageNs >= warmUpNs
                ? 1
                : initialCapacity + (1 - initialCapacity) * Math.max(0, ageNs) / warmUpNs;
    }
}
