package brooklock.warming;

/**
 * A running rate, forgotten over a span: what this dispatcher itself has sent hosts of a kind
 * lately.
 */
final class Pace {
    /** The span, ns: longer than a burst, shorter than a start. */
    static final double SPAN_NS = 8e9;

    private double sum;
    private long at;

    void add(double amount, long now) {
        sum = sum(now) + amount;
        at = now;
    }

    /** What is left of all that was added. */
    double sum(long now) {
        return sum * Math.exp((at - now) / SPAN_NS);
    }

    /** Mean a ns over the span. */
    double perNs(long now) {
        return sum(now) / SPAN_NS;
    }
}
