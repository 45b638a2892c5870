package brooklock.warming;

/**
 * A share that grows by equal steps and is cut by a factor (additive increase, multiplicative
 * decrease). Dispatchers that receive the same reports thereby converge to equal shares without
 * communicating with one another. Not thread-safe.
 */
final class AdaptiveShare {
    private static final double GROWTH_STEP = 0.1;
    private static final long GROWTH_INTERVAL_NS = 500_000_000L;
    // Prevents one overload from causing several cuts: responses that were in flight at the first
    // cut still report the load from before it.
    private static final long MIN_CUT_INTERVAL_NS = 250_000_000L;

    private double value;
    private long lastGrowthNs;
    private long lastCutNs;

    /** Creates a new share with the given initial value, which may be cut at once. */
    AdaptiveShare(double initial, long nowNs) {
        value = initial;
        lastGrowthNs = nowNs;
        lastCutNs = nowNs - MIN_CUT_INTERVAL_NS;
    }

    double value() {
        return value;
    }

    /** Sets the share without affecting the intervals of cuts and growth. */
    void set(double newValue) {
        value = newValue;
    }

    /** Adds the growth steps that are due at the given time, up to a maximum. */
    void grow(double max, long nowNs) {
        long steps = (nowNs - lastGrowthNs) / GROWTH_INTERVAL_NS;
        if (steps > 0) {
            value = Math.min(max, value + GROWTH_STEP * steps);
            lastGrowthNs += steps * GROWTH_INTERVAL_NS;
        }
    }

    /** Restarts the interval before the next growth step. */
    void restartGrowth(long nowNs) {
        lastGrowthNs = nowNs;
    }

    /**
     * Multiplies the share by a factor, down to a minimum. Does nothing within {@link
     * #MIN_CUT_INTERVAL_NS} after the previous cut.
     */
    void cut(double factor, double min, long nowNs) {
        if (nowNs - lastCutNs >= MIN_CUT_INTERVAL_NS) {
            value = Math.max(min, value * factor);
            lastCutNs = nowNs;
            lastGrowthNs = nowNs;
        }
    }
}
