package brooklock.routing;

/**
 * An adaptive limit on the work in flight on one shared link, with additive increase and
 * multiplicative decrease.
 *
 * <p>Inputs: work in nanoseconds of transfer, as attempts start and end, and whether responses met
 * their latency objective.
 *
 * <p>There is no limit until the link is congested, that is, until the share of late responses is
 * too high. After that, with a tolerated share {@code s} of late responses, a response in time
 * raises the limit by {@code s} times its work, and a late response lowers it by {@code 1 - s}
 * times its work. The limit settles where the share of late responses is {@code s}. The tolerated
 * share is higher on links where responses are also late for other reasons.
 *
 * <p>Without a limit, additional work on a full link makes all of its responses late: all latencies
 * grow while the throughput stays the same. Work above the limit is sent elsewhere or rejected at
 * once.
 */
final class ConcurrencyLimit {
    /** Tolerated share of late responses on a cache's own link. */
    private static final double TOLERATED_CACHE_LATE_SHARE = 0.1;

    /** Tolerated share of late responses on the fill link of the zone. */
    private static final double TOLERATED_FILL_LATE_SHARE = 0.2;

    /** Tolerated share of late responses at the origin. */
    private static final double TOLERATED_ORIGIN_LATE_SHARE = 0.3;

    /**
     * Lower bound of each limit in the router's own zone, as a multiple of the work of a mean
     * request. Ensures that some requests are always admitted.
     */
    private static final double MIN_REQUESTS = 2;

    /**
     * Lower bound of the sum of all dispatchers' limits at the origin, as a multiple of the work of
     * a mean request. Ensures that some requests are always admitted.
     */
    private static final double MIN_ORIGIN_REQUESTS = 4;

    /**
     * Maximum share by which one late response lowers a limit: a single large response must not
     * block the link for all other requests.
     */
    private static final double MAX_DECREASE_SHARE = 0.25;

    /**
     * Maximum pause, in nanoseconds, after a request that exceeds the limit on its own. The work of
     * one request is an estimate, and must not close a link for longer than congestion lasts.
     */
    private static final double MAX_PAUSE_NS = 10e9;

    /** Share of late responses at which a link is considered congested and gets a limit. */
    private static final double CONGESTED_LATE_SHARE = 0.15;

    /** Weight of one response in the running share of late responses. */
    private static final double LATE_SHARE_WEIGHT = 0.1;

    /** Weight of a response of unknown size, which may be late only because it is large. */
    private static final double UNSIZED_LATE_SHARE_WEIGHT = 0.05;

    private final double toleratedLateShare;
    private final double minRequests;
    private double inFlightNs;
    private double limitNs = Double.POSITIVE_INFINITY;
    private double lateShare;
    private long pausedUntilNs;

    private ConcurrencyLimit(double toleratedLateShare, double minRequests) {
        this.toleratedLateShare = toleratedLateShare;
        this.minRequests = minRequests;
    }

    static ConcurrencyLimit forCache() {
        return new ConcurrencyLimit(TOLERATED_CACHE_LATE_SHARE, MIN_REQUESTS);
    }

    static ConcurrencyLimit forFills() {
        return new ConcurrencyLimit(TOLERATED_FILL_LATE_SHARE, MIN_REQUESTS);
    }

    /**
     * Creates this dispatcher's share of the limit at the origin. The lower bound is divided by the
     * number of dispatchers, because all dispatchers share one origin, where their lower bounds add
     * up.
     */
    static ConcurrencyLimit forOrigin(int dispatchers) {
        return new ConcurrencyLimit(
                TOLERATED_ORIGIN_LATE_SHARE, MIN_ORIGIN_REQUESTS / Math.max(1, dispatchers));
    }

    /** Returns the work in flight, in nanoseconds. */
    double inFlightNs() {
        return inFlightNs;
    }

    /**
     * Returns whether so many responses are late that avoidable work should be kept off the link.
     */
    boolean isCongested() {
        return lateShare >= CONGESTED_LATE_SHARE;
    }

    /**
     * Returns whether the limit is at least the given work. Larger requests are admitted only one
     * at a time and with pauses; see {@link #admits}.
     */
    boolean isAtLeast(double workNs) {
        return limitNs >= workNs;
    }

    /**
     * Returns whether work may start. A request that exceeds the limit on its own is admitted only
     * on an idle link; without this exception it would never be served. After such a request, the
     * next one that exceeds the limit is admitted only when a pause has ended. The pause is chosen
     * so that the mean work in flight, averaged over the request and the pause, equals the limit,
     * but it has a maximum.
     */
    boolean admits(double workNs, long now) {
        return inFlightNs + workNs <= limitNs || (inFlightNs <= 0 && now >= pausedUntilNs);
    }

    void acquire(double workNs) {
        inFlightNs += workNs;
    }

    void release(double workNs, long now) {
        inFlightNs = Math.max(0, inFlightNs - workNs);
        if (workNs > limitNs) {
            double pauseNs = Math.min(MAX_PAUSE_NS, workNs * (workNs / limitNs - 1));
            pausedUntilNs = now + (long) pauseNs;
        }
    }

    /**
     * Records a response of unknown size, which changes the share of late responses but not the
     * limit.
     */
    void onUnsizedResponse(boolean onTime) {
        updateLateShare(onTime, UNSIZED_LATE_SHARE_WEIGHT);
    }

    /**
     * Records a response and adapts the limit. The limit changes only while more than half of it is
     * used.
     */
    void onResponse(boolean onTime, double workNs, double meanWorkNs) {
        updateLateShare(onTime, LATE_SHARE_WEIGHT);
        double minLimitNs = minRequests * meanWorkNs;
        if (limitNs == Double.POSITIVE_INFINITY) {
            limitNs =
                    lateShare > CONGESTED_LATE_SHARE
                            ? Math.max(minLimitNs, inFlightNs + workNs)
                            : limitNs;
        } else if (inFlightNs + workNs > limitNs / 2) {
            double decreaseNs =
                    Math.min((1 - toleratedLateShare) * workNs, MAX_DECREASE_SHARE * limitNs);
            double increaseNs = Math.min(toleratedLateShare * workNs, limitNs);
            limitNs = Math.max(minLimitNs, limitNs + (onTime ? increaseNs : -decreaseNs));
        }
    }

    private void updateLateShare(boolean onTime, double weight) {
        lateShare += weight * ((onTime ? 0 : 1) - lateShare);
    }
}
