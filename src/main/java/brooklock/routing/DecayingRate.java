package brooklock.routing;

/** A running rate: what was added lately, forgotten exponentially over a span. State only. */
public final class DecayingRate {
    private final double spanNs;
    private double sum;
    private long updatedAtNs;

    /** Begins at 0; {@code spanNs} is the time in which all but a third is forgotten. */
    public DecayingRate(double spanNs) {
        this.spanNs = spanNs;
    }

    /** Adds an amount at a time. */
    public void add(double amount, long now) {
        sum = sum(now) + amount;
        updatedAtNs = now;
    }

    /** What is left of all that was added. */
    public double sum(long now) {
        return sum * Math.exp((updatedAtNs - now) / spanNs);
    }

    /** Mean amount per nanosecond over the span. */
    public double ratePerNs(long now) {
        return sum(now) / spanNs;
    }

    /** When something was added last, or 0. */
    public long updatedAtNs() {
        return updatedAtNs;
    }
}
