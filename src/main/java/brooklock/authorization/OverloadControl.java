package brooklock.authorization;

import java.util.Arrays;
import java.util.Collection;

/**
 * Decides when tenants are held to fair shares, and how much there is to share. Inputs: the
 * router's rejections and what is served, per interval. Without this, one tenant's burst would have
 * the requests of all others rejected with its own.
 */
final class OverloadControl {
    /** The interval over which demand, service and rejections are measured, in ns. */
    static final long INTERVAL_NS = 500_000_000L;

    // Share rejected by the router above which the dispatcher is overloaded; rejections by chance
    // stay below it.
    private static final double OVERLOAD_REJECTED_SHARE = 0.05;
    // Under overload tenants share what was served recently and a little more, so that rejections
    // by chance do not shrink it.
    private static final double OVERLOAD_HEADROOM = 1.05;
    private static final int RECENT_INTERVALS = 4;
    // After so many intervals, fair shares must have lowered the rejected share to this part of
    // what it was. Otherwise the rejections have another cause, such as a failing endpoint, and
    // fair shares rest for as many intervals.
    private static final int MAX_INEFFECTIVE_INTERVALS = 20;
    private static final double EFFECTIVE_REDUCTION = 0.8;
    // Weight of the newest interval in smoothed figures.
    private static final double SMOOTHING_FACTOR = 0.5;

    private long intervalEndNs = Long.MIN_VALUE;
    private int intervalCount;
    private double served;
    private double rejected;
    private final double[] recentServed = new double[RECENT_INTERVALS];
    private double sharedCapacity;
    private double rejectedShare;
    private double rejectedShareAtStart;
    private int overloadedSince;
    private int inactiveUntil;
    private boolean overloaded;

    /** Counts a request that has ended. */
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

    /** Time until the next interval begins, in ns, at least 1. */
    long nanosUntilNextInterval(long nowNs) {
        return Math.max(1, intervalEndNs - nowNs);
    }

    /** Evaluates the interval that has ended, if one has. */
    void advance(Collection<TenantUsage> tenants, long nowNs) {
        if (nowNs < intervalEndNs) {
            return;
        }
        // After a pause the smoothed figures say nothing any more.
        boolean stale = intervalEndNs == Long.MIN_VALUE || nowNs - intervalEndNs > INTERVAL_NS;
        intervalEndNs = nowNs + INTERVAL_NS;
        double heldBack = 0;
        for (TenantUsage usage : tenants) {
            usage.demand =
                    stale
                            ? usage.requested
                            : usage.demand + SMOOTHING_FACTOR * (usage.requested - usage.demand);
            heldBack += Math.max(0, usage.requested - usage.admitted);
            usage.requested = 0;
            usage.admitted = 0;
        }
        if (stale) {
            Arrays.fill(recentServed, 0);
            overloaded = false;
        }
        recentServed[intervalCount++ % RECENT_INTERVALS] = served;
        double share = served + rejected == 0 ? 0 : rejected / (served + rejected);
        rejectedShare += SMOOTHING_FACTOR * (share - rejectedShare);
        updateOverload(heldBack);
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
     * Enters and leaves the overloaded state. While requests are held back it stays, until all
     * demand fits.
     *
     * @param heldBack requests of the interval that were not admitted
     */
    private void updateOverload(double heldBack) {
        if (!overloaded) {
            if (rejectedShare > OVERLOAD_REJECTED_SHARE && intervalCount >= inactiveUntil) {
                overloaded = true;
                overloadedSince = intervalCount;
                rejectedShareAtStart = rejectedShare;
            }
        } else if (heldBack == 0 && rejectedShare <= OVERLOAD_REJECTED_SHARE) {
            overloaded = false;
        } else if (intervalCount - overloadedSince >= MAX_INEFFECTIVE_INTERVALS
                && rejectedShare > EFFECTIVE_REDUCTION * rejectedShareAtStart) {
            overloaded = false;
            inactiveUntil = intervalCount + MAX_INEFFECTIVE_INTERVALS;
        }
    }

    // While little is rejected the capacity grows, to find what has come back.
    private void updateSharedCapacity() {
        double mean = Arrays.stream(recentServed).sum() / RECENT_INTERVALS;
        sharedCapacity =
                rejectedShare > OVERLOAD_REJECTED_SHARE || sharedCapacity == 0
                        ? OVERLOAD_HEADROOM * mean
                        : FairShares.GROWTH_FACTOR * Math.max(sharedCapacity, mean);
    }
}
