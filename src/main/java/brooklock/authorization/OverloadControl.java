package brooklock.authorization;

import java.util.Arrays;
import java.util.Collection;

/**
 * Detects overload from the requests that the router serves and rejects in each interval, and
 * during overload computes the capacity that tenants share. Without this, a burst of one tenant
 * would cause the router to reject requests of all tenants. Not thread-safe; owned by a {@link
 * TenantLimiter}.
 */
final class OverloadControl {
    /** The interval over which demand, served and rejected requests are counted, in ns. */
    static final long INTERVAL_NS = 500_000_000L;

    // The fraction of requests rejected by the router above which the dispatcher is overloaded;
    // occasional rejections stay below it.
    private static final double OVERLOAD_REJECTED_FRACTION = 0.05;
    // Under overload the shared capacity is the recently served rate times this factor, so that
    // occasional rejections do not shrink it step by step.
    private static final double OVERLOAD_HEADROOM = 1.05;
    private static final int RECENT_INTERVALS = 4;
    // After MAX_INEFFECTIVE_INTERVALS, fair shares must have reduced the rejected fraction to
    // EFFECTIVE_REDUCTION times its initial value. Otherwise the rejections have another cause,
    // such as a failing endpoint, and fair shares are suspended for the same number of intervals.
    private static final int MAX_INEFFECTIVE_INTERVALS = 20;
    private static final double EFFECTIVE_REDUCTION = 0.8;
    // The weight of the newest interval in exponential moving averages.
    private static final double SMOOTHING_FACTOR = 0.5;

    private long intervalEndNs = Long.MIN_VALUE;
    private int intervalCount;
    private double served;
    private double rejected;
    private final double[] recentServed = new double[RECENT_INTERVALS];
    private double sharedCapacity;
    private double rejectedFraction;
    private double rejectedFractionAtStart;
    private int overloadStartInterval;
    private int suspendedUntilInterval;
    private boolean overloaded;

    /** Counts a request that has completed. */
    void recordOutcome(boolean rejectedByRouter) {
        if (rejectedByRouter) {
            rejected++;
        } else {
            served++;
        }
    }

    boolean isOverloaded() {
        return overloaded;
    }

    /** Returns the time until the next interval begins, in ns; at least 1. */
    long nanosUntilNextInterval(long nowNs) {
        return Math.max(1, intervalEndNs - nowNs);
    }

    /** Evaluates the current interval if it has ended, and starts the next one. */
    void advance(Collection<TenantUsage> tenants, long nowNs) {
        if (nowNs < intervalEndNs) {
            return;
        }
        // After a gap without requests the averages no longer describe the load.
        boolean stale = intervalEndNs == Long.MIN_VALUE || nowNs - intervalEndNs > INTERVAL_NS;
        intervalEndNs = nowNs + INTERVAL_NS;
        double notAdmitted = 0;
        for (TenantUsage usage : tenants) {
            usage.demand =
                    stale
                            ? usage.requested
                            : usage.demand + SMOOTHING_FACTOR * (usage.requested - usage.demand);
            notAdmitted += Math.max(0, usage.requested - usage.admitted);
            usage.requested = 0;
            usage.admitted = 0;
        }
        if (stale) {
            Arrays.fill(recentServed, 0);
            overloaded = false;
        }
        recentServed[intervalCount++ % RECENT_INTERVALS] = served;
        double currentFraction = served + rejected == 0 ? 0 : rejected / (served + rejected);
        rejectedFraction += SMOOTHING_FACTOR * (currentFraction - rejectedFraction);
        updateOverload(notAdmitted);
        served = 0;
        rejected = 0;
        if (overloaded) {
            updateSharedCapacity();
            FairShares.allocate(tenants, sharedCapacity);
        } else {
            sharedCapacity = 0;
        }
    }

    /**
     * Enters or leaves the overloaded state. The state ends when all requests of an interval were
     * admitted and the router rejects few requests, or when fair shares prove ineffective.
     *
     * @param notAdmitted the number of requests of the interval that were not admitted
     */
    private void updateOverload(double notAdmitted) {
        if (!overloaded) {
            if (rejectedFraction > OVERLOAD_REJECTED_FRACTION
                    && intervalCount >= suspendedUntilInterval) {
                overloaded = true;
                overloadStartInterval = intervalCount;
                rejectedFractionAtStart = rejectedFraction;
            }
        } else if (notAdmitted == 0 && rejectedFraction <= OVERLOAD_REJECTED_FRACTION) {
            overloaded = false;
        } else if (intervalCount - overloadStartInterval >= MAX_INEFFECTIVE_INTERVALS
                && rejectedFraction > EFFECTIVE_REDUCTION * rejectedFractionAtStart) {
            overloaded = false;
            suspendedUntilInterval = intervalCount + MAX_INEFFECTIVE_INTERVALS;
        }
    }

    // While the router rejects few requests, the shared capacity grows, because the capacity of the
    // router may have recovered.
    private void updateSharedCapacity() {
        double mean = Arrays.stream(recentServed).sum() / RECENT_INTERVALS;
        sharedCapacity =
                rejectedFraction > OVERLOAD_REJECTED_FRACTION || sharedCapacity == 0
                        ? OVERLOAD_HEADROOM * mean
                        : FairShares.GROWTH_FACTOR * Math.max(sharedCapacity, mean);
    }
}
