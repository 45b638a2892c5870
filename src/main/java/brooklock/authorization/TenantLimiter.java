package brooklock.authorization;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * How much each tenant may have at once: its own limits, and its fair part while the dispatcher is
 * short. It is short while the module refuses more than a little of what it is given; then the
 * tenants share what is served by their weights, each no more than it asks for, so that one firm's
 * burst is refused here and the others' requests find room. Not for several threads.
 */
public final class TenantLimiter {
    // The span over which demand, service and refusals are reckoned, ns: long enough for a few
    // requests of each
    // tenant, short against a burst.
    private static final long INTERVAL_NS = 500_000_000L;
    // Share refused by the module above which the dispatcher is short: chance refusals stay below
    // it.
    private static final double OVERLOAD_REJECTED_SHARE = 0.05;
    // What tenants share while much is refused: what was served lately and a little more, so that
    // refusals by chance do
    // not shrink it. While little is refused it grows by the other factor a span, to find capacity
    // that is back.
    private static final double OVERLOAD_HEADROOM = 1.05;
    private static final double GROWTH_FACTOR = 1.1;
    // Parts hold only while a tenant asks, by its weight, for over this multiple of what the others
    // do: where all ask
    // alike the module's own refusals are fair, and parts would only cost service, hits among it.
    private static final double EXCESS_DEMAND_RATIO = 1.5;
    // Spans that "lately" means, and spans after which holding tenants back must have lowered the
    // share that is refused to
    // this part of what it was. Else the refusals have another cause, and it rests for as many
    // spans.
    private static final int RECENT_INTERVALS = 4;
    private static final int MAX_INEFFECTIVE_INTERVALS = 20;
    private static final double EFFECTIVE_REDUCTION = 0.8;
    // Requests a second below which a tenant is never held back: a part of nothing is not fair to
    // anybody.
    private static final double MIN_FAIR_RATE_PER_SECOND = 4;
    // A second's worth of a tenant's own limits may be saved up: bursts of that length pass.
    private static final double TENANT_BURST_SECONDS = 1;
    // ... and this much of its part while the dispatcher is short. Spent all at once a part would
    // come in one heap,
    // most of it refused behind, and what is served, which parts are reckoned from, would shrink to
    // nothing.
    private static final double FAIR_SHARE_BURST_SECONDS = 0.05;
    // Weight of the newest span in what is reckoned.
    private static final double SMOOTHING_FACTOR = 0.5;

    /** What is said to a request. */
    public record Admission(Reason reason, long retryAfterNs) {
        /** Whether it may go on. */
        public boolean admitted() {
            return reason == Reason.ADMITTED;
        }
    }

    /** Why it may not. */
    public enum Reason {
        /** It may. */
        ADMITTED(200),
        /** Over the tenant's own rate. */
        RATE(429),
        /** Over the tenant's own number at work. */
        CONCURRENT(429),
        /** Over the tenant's own bytes. */
        BYTES(429),
        /** The dispatcher is short, and this is more than the tenant's part. */
        SHARE(503);

        /** The status that says so. */
        public final int httpStatus;

        Reason(int status) {
            this.httpStatus = status;
        }
    }

    private static final Admission ADMITTED = new Admission(Reason.ADMITTED, 0);

    private static final class TenantUsage {
        Tenant tenant;
        int inFlight;
        final TokenBucket requestBucket = new TokenBucket(TENANT_BURST_SECONDS);
        final TokenBucket byteBucket = new TokenBucket(TENANT_BURST_SECONDS);
        final TokenBucket fairShareBucket = new TokenBucket(FAIR_SHARE_BURST_SECONDS);
        // Of the span that runs.
        double requested;
        double admitted;
        // Reckoned over past spans: requests a span.
        double demand;
        double fairShare = Double.POSITIVE_INFINITY;
    }

    private final Map<String, TenantUsage> usageByTenant = new HashMap<>();
    private long intervalEndNs = Long.MIN_VALUE;
    private double served;
    private double rejected;
    private final double[] recentServed = new double[RECENT_INTERVALS];
    private int intervalCount;
    private double sharedCapacity;
    private double rejectedShare;
    private double rejectedShareAtStart;
    private int overloadedSince;
    private int inactiveUntil;
    private boolean overloaded;

    /** Takes the tenants of a new policy; what those that stay have used stays counted. */
    public void setTenants(List<Tenant> tenants) {
        Map<String, Tenant> now = new HashMap<>();
        tenants.forEach(t -> now.put(t.name(), t));
        usageByTenant.values().removeIf(a -> !now.containsKey(a.tenant.name()) && a.inFlight == 0);
        now.forEach(
                (name, t) ->
                        usageByTenant.computeIfAbsent(name, k -> new TenantUsage()).tenant = t);
    }

    /** Whether a tenant is of the newest policy, or has requests at work still. */
    public boolean isKnown(String tenant) {
        return usageByTenant.containsKey(tenant);
    }

    /** A tenant's request: may it go on? If so it is at work until {@link #done}. */
    public Admission tryAcquire(String tenant, long nowNs) {
        advanceInterval(nowNs);
        TenantUsage a = usageByTenant.get(tenant);
        if (a == null) {
            throw new IllegalArgumentException("no tenant " + tenant);
        }
        a.requested++;
        Tenant t = a.tenant;
        if (t.maxInFlight() > 0 && a.inFlight >= t.maxInFlight()) {
            return new Admission(Reason.CONCURRENT, INTERVAL_NS);
        }
        if (t.requestsPerSecond() > 0 && !a.requestBucket.hasTokens(t.requestsPerSecond(), nowNs)) {
            return new Admission(
                    Reason.RATE, a.requestBucket.nanosUntilAvailable(t.requestsPerSecond()));
        }
        if (t.bytesPerSecond() > 0 && !a.byteBucket.hasTokens(t.bytesPerSecond(), nowNs)) {
            return new Admission(
                    Reason.BYTES, a.byteBucket.nanosUntilAvailable(t.bytesPerSecond()));
        }
        if (overloaded && a.fairShare < Double.POSITIVE_INFINITY) {
            double part = Math.max(MIN_FAIR_RATE_PER_SECOND, a.fairShare * 1e9 / INTERVAL_NS);
            if (!a.fairShareBucket.hasWholeToken(part, nowNs)) {
                return new Admission(Reason.SHARE, Math.max(1, intervalEndNs - nowNs));
            }
            a.fairShareBucket.consume(1);
        }
        a.admitted++;
        a.requestBucket.consume(1);
        a.inFlight++;
        return ADMITTED;
    }

    /**
     * A request that was admitted has ended.
     *
     * @param refusedBehind the module refused it for want of room
     */
    public void release(String tenant, long bytes, boolean rejectedByRouter) {
        TenantUsage a = usageByTenant.get(tenant);
        a.inFlight--;
        a.byteBucket.consume(bytes);
        if (rejectedByRouter) {
            rejected++;
        } else {
            served++;
        }
    }

    /** Requests of a tenant at work. */
    public int inFlight(String tenant) {
        TenantUsage a = usageByTenant.get(tenant);
        return a == null ? 0 : a.inFlight;
    }

    /** Whether tenants are held to their parts just now. */
    public boolean isOverloaded() {
        return overloaded;
    }

    private void advanceInterval(long nowNs) {
        if (nowNs < intervalEndNs) {
            return;
        }
        boolean stale = intervalEndNs == Long.MIN_VALUE || nowNs - intervalEndNs > INTERVAL_NS;
        intervalEndNs = nowNs + INTERVAL_NS;
        double held = 0;
        for (TenantUsage a : usageByTenant.values()) {
            a.demand = stale ? a.requested : a.demand + SMOOTHING_FACTOR * (a.requested - a.demand);
            held += Math.max(0, a.requested - a.admitted);
            a.requested = 0;
            a.admitted = 0;
        }
        if (stale) {
            Arrays.fill(recentServed, 0);
            overloaded = false;
        }
        recentServed[intervalCount++ % RECENT_INTERVALS] = served;
        double share = served + rejected == 0 ? 0 : rejected / (served + rejected);
        rejectedShare += SMOOTHING_FACTOR * (share - rejectedShare);
        updateOverload(held);
        served = 0;
        rejected = 0;
        if (overloaded) {
            double mean = Arrays.stream(recentServed).sum() / RECENT_INTERVALS;
            sharedCapacity =
                    rejectedShare > OVERLOAD_REJECTED_SHARE || sharedCapacity == 0
                            ? OVERLOAD_HEADROOM * mean
                            : GROWTH_FACTOR * Math.max(sharedCapacity, mean);
            allocateFairShares(sharedCapacity);
        } else {
            sharedCapacity = 0;
        }
    }

    // While some are held back the parts stay until all that is asked for fits.
    private void updateOverload(double held) {
        if (!overloaded) {
            if (rejectedShare > OVERLOAD_REJECTED_SHARE && intervalCount >= inactiveUntil) {
                overloaded = true;
                overloadedSince = intervalCount;
                rejectedShareAtStart = rejectedShare;
            }
        } else if (held == 0 && rejectedShare <= OVERLOAD_REJECTED_SHARE) {
            overloaded = false;
        } else if (intervalCount - overloadedSince >= MAX_INEFFECTIVE_INTERVALS
                && rejectedShare > EFFECTIVE_REDUCTION * rejectedShareAtStart) {
            overloaded = false;
            inactiveUntil = intervalCount + MAX_INEFFECTIVE_INTERVALS;
        }
    }

    // Weighted max-min: whoever asks for less than its part leaves the rest to the others.
    private void allocateFairShares(double all) {
        double left = all;
        double weights = 0;
        for (TenantUsage a : usageByTenant.values()) {
            a.fairShare = -1;
            weights += a.demand > 0 ? a.tenant.weight() : 0;
        }
        boolean settled = true;
        while (settled && weights > 0) {
            settled = false;
            double unit = left / weights;
            for (TenantUsage a : usageByTenant.values()) {
                if (a.fairShare < 0 && a.demand > 0 && a.demand <= unit * a.tenant.weight()) {
                    a.fairShare = a.demand * GROWTH_FACTOR + 1;
                    left -= a.demand;
                    weights -= a.tenant.weight();
                    settled = true;
                }
            }
        }
        for (TenantUsage a : usageByTenant.values()) {
            if (a.fairShare < 0) {
                a.fairShare = left / Math.max(1e-9, weights) * a.tenant.weight();
            }
        }
        if (usageByTenant.values().stream().noneMatch(this::hasExcessDemand)) {
            usageByTenant.values().forEach(a -> a.fairShare = Double.POSITIVE_INFINITY);
        }
    }

    private boolean hasExcessDemand(TenantUsage a) {
        double demand = 0;
        double weight = 0;
        for (TenantUsage o : usageByTenant.values()) {
            demand += o == a ? 0 : o.demand;
            weight += o == a || o.demand <= 0 ? 0 : o.tenant.weight();
        }
        return weight > 0 && a.demand / a.tenant.weight() > EXCESS_DEMAND_RATIO * demand / weight;
    }
}
