package brooklock.warming;

/**
 * A share that grows by equal steps and is cut by a factor (additive increase, multiplicative
 * decrease). Dispatchers that see the same reports so converge to equal shares without talking to
 * one another.
 */
final class AdaptiveShare {
    private static final double GROWTH_STEP = 0.1;
    private static final long GROWTH_INTERVAL_NS = 500_000_000L;
    // One overload is one cut: responses that were in flight at the cut still report the load from
    // before it.
    private static final long MIN_CUT_INTERVAL_NS = 250_000_000L;

    private double value;
    private long lastGrowthNs;
    private long lastCutNs;

    AdaptiveShare(double initial, long nowNs) {
        value = initial;
        lastGrowthNs = nowNs;
        lastCutNs = nowNs - MIN_CUT_INTERVAL_NS;
    }

    double value() {
        return value;
    }

    /** Sets the share, neither as a cut nor as growth. */
    void set(double newValue) {
        value = newValue;
    }

    /** Adds the steps that are due, up to a maximum. */
    void grow(double max, long nowNs) {
        long steps = (nowNs - lastGrowthNs) / GROWTH_INTERVAL_NS;
        if (steps > 0) {
            value = Math.min(max, value + GROWTH_STEP * steps);
            lastGrowthNs += steps * GROWTH_INTERVAL_NS;
        }
    }

    /** Starts the wait for the next growth step anew. */
    void restartGrowth(long nowNs) {
        lastGrowthNs = nowNs;
    }

    /** Multiplies the share by a factor, down to a minimum, unless it was cut just before. */
    void cut(double factor, double min, long nowNs) {
        if (nowNs - lastCutNs >= MIN_CUT_INTERVAL_NS) {
            value = Math.max(min, value * factor);
            lastCutNs = nowNs;
            lastGrowthNs = nowNs;
        }
    }
}
