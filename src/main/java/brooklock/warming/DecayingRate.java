package brooklock.warming;

/** A rate of events in which older events count exponentially less. */
final class DecayingRate {
    /** The time constant, in ns: longer than a burst, shorter than a cache's start. */
    static final double DECAY_NS = 8e9;

    private double sum;
    private long updatedAtNs;

    void add(double amount, long nowNs) {
        sum = sum(nowNs) + amount;
        updatedAtNs = nowNs;
    }

    /** The decayed sum of everything that was added. */
    double sum(long nowNs) {
        return sum * Math.exp((updatedAtNs - nowNs) / DECAY_NS);
    }

    /** The mean rate, in units per ns. */
    double ratePerNs(long nowNs) {
        return sum(nowNs) / DECAY_NS;
    }
}
