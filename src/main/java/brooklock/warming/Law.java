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
public record Law(
        boolean anyZone,
        double neighbourShare,
        double bearsPerNs,
        int dispatchers,
        double coldFrom,
        long coldNs,
        double fallMultiple,
        long overloadNs) {
    /** Checks the figures. */
    public Law {
        if (!(neighbourShare > 0 && neighbourShare <= 1)
                || !(bearsPerNs >= 0)
                || dispatchers <= 0
                || !(coldFrom > 0 && coldFrom <= 1)
                || coldNs <= 0
                || fallMultiple < 0
                || overloadNs <= 0) {
            throw new IllegalArgumentException("figures of warming that cannot be");
        }
    }

    /**
     * This dispatcher's part of what a warm cache bears: all parts together are no more than that.
     *
     * @param ownPerNs requests a ns that this dispatcher sends a warm cache itself
     */
    public double partPerNs(double ownPerNs) {
        return bearsPerNs > 0 ? bearsPerNs / dispatchers : ownPerNs;
    }

    /**
     * How long a permission lasts that is not used: half the span over which too much is reckoned.
     */
    long lapseNs() {
        return overloadNs / 2;
    }

    /** Share of its capacity that a cache surely has at an age. */
    public double warmth(long ageNs) {
        return ageNs >= coldNs ? 1 : coldFrom + (1 - coldFrom) * Math.max(0, ageNs) / coldNs;
    }
}
