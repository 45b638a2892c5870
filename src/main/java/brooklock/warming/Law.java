package brooklock.warming;

/**
 * What an installation allows, and the figures that the rule on cold hosts goes by.
 *
 * @param anyZone neighbours of all locations may give, else those of the own location only
 * @param neighbourShare share of what this dispatcher sends a neighbour itself that warming may ask of it on top
 * @param coldFrom share of its capacity that a cache has right after its start
 * @param coldNs time until it has all of it
 * @param fallMultiple multiple of what it can do that pushes it over
 * @param overloadNs the span over which that is reckoned
 */
public record Law(boolean anyZone, double neighbourShare, double coldFrom, long coldNs, double fallMultiple,
        long overloadNs) {
    /** Checks the figures. */
    public Law {
        if (!(neighbourShare > 0 && neighbourShare <= 1) || !(coldFrom > 0 && coldFrom <= 1) || coldNs <= 0
                || fallMultiple < 0 || overloadNs <= 0) {
            throw new IllegalArgumentException("figures of warming that cannot be");
        }
    }

    /** Share of its capacity that a cache surely has at an age. */
    public double warmth(long ageNs) {
        return ageNs >= coldNs ? 1 : coldFrom + (1 - coldFrom) * Math.max(0, ageNs) / coldNs;
    }
}
