package brooklock.routing;

/** A sum that decays exponentially, from which a rate is derived. State only. Not thread-safe. */
public final class DecayingRate {
    private final double timeConstantNs;
    private double sum;
    private long updatedAtNs;

    /**
     * Creates a new rate, which starts at 0.
     *
     * @param timeConstantNs the time constant of the decay in nanoseconds, in which the sum falls
     *     to 1/e (about a third)
     */
    public DecayingRate(double timeConstantNs) {
        this.timeConstantNs = timeConstantNs;
    }

    /** Adds an amount at the given time, in nanoseconds. */
    public void add(double amount, long now) {
        sum = sum(now) + amount;
        updatedAtNs = now;
    }

    /** Returns the decayed sum at the given time, in nanoseconds. */
    public double sum(long now) {
        return sum * Math.exp((updatedAtNs - now) / timeConstantNs);
    }

    /**
     * Returns the decayed sum divided by the time constant, that is, the mean amount per
     * nanosecond, at the given time in nanoseconds.
     */
    public double ratePerNs(long now) {
        return sum(now) / timeConstantNs;
    }

    /** Returns the time of the last addition, in nanoseconds, or 0 if there was none. */
    public long updatedAtNs() {
        return updatedAtNs;
    }
}
