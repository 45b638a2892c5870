package brooklock.warming;

/**
 * A running rate, forgotten over a span: what this dispatcher itself has sent hosts of a kind
 * lately.
 */
final class DecayingRate {
    /** The span, ns: longer than a burst, shorter than a start. */
    static final double DECAY_NS = 8e9;

    private double sum;
    private long updatedAtNs;

    void add(double amount, long now) {
        sum = sum(now) + amount;
        updatedAtNs = now;
    }

    /** What is left of all that was added. */
    double sum(long now) {
        return sum * Math.exp((updatedAtNs - now) / DECAY_NS);
    }

    /** Mean a ns over the span. */
    double ratePerNs(long now) {
        return sum(now) / DECAY_NS;
    }
}
