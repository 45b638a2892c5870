package brooklock.routing;

/**
 * Adaptive limit on the work in flight on one shared link, by additive increase and multiplicative
 * decrease.
 *
 * <p>Inputs: work in nanoseconds of transfer, as attempts start and end, and whether responses met
 * their objective.
 *
 * <p>There is no limit until responses come late. Then, with a tolerated share {@code s} of late
 * responses, one in time adds {@code s} times its work to the limit and a late one takes {@code 1 -
 * s} times its work from it: the limit rests where the share of late responses is {@code s}. That
 * share is higher where responses are late for other reasons too.
 *
 * <p>This prevents a jam: on a full link more work makes all of it late, which shows as latencies
 * that grow together while throughput stands still. It holds because work over the limit is sent
 * elsewhere or rejected at once.
 */
final class ConcurrencyLimit {
    /** Tolerated share of late responses on a cache's own link. */
    private static final double CACHE_LATE_SHARE = 0.1;

    /** Tolerated share of late responses on the fill link of the zone. */
    private static final double FILL_LATE_SHARE = 0.2;

    /** Tolerated share of late responses at the origin. */
    private static final double ORIGIN_LATE_SHARE = 0.3;

    /** Mean requests for which a limit of the own zone always stays open. */
    private static final double MIN_REQUESTS = 2;

    /** Mean requests for which the limits of all dispatchers together stay open at the origin. */
    private static final double MIN_ORIGIN_REQUESTS = 4;

    /** Part of a limit that one late response may take: a large one must not shut it for all. */
    private static final double MAX_DECREASE = 0.25;

    /** Running share of late responses from which on a link is late and gets a limit. */
    private static final double LATE_SHARE_TO_LIMIT = 0.15;

    /** Weight of one response in the running share. */
    private static final double LATE_WEIGHT = 0.1;

    /** Weight of one of unknown size, which may be late for its size alone. */
    private static final double UNSIZED_LATE_WEIGHT = 0.05;

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
        return new ConcurrencyLimit(CACHE_LATE_SHARE, MIN_REQUESTS);
    }

    static ConcurrencyLimit forFills() {
        return new ConcurrencyLimit(FILL_LATE_SHARE, MIN_REQUESTS);
    }

    /** This dispatcher's part of the origin: their floors add up at the one origin. */
    static ConcurrencyLimit forOrigin(int dispatchers) {
        return new ConcurrencyLimit(
                ORIGIN_LATE_SHARE, MIN_ORIGIN_REQUESTS / Math.max(1, dispatchers));
    }

    /** Work in flight. */
    double inFlightNs() {
        return inFlightNs;
    }

    /** Whether responses come late lately, so that the link had better be spared. */
    boolean isLate() {
        return lateShare >= LATE_SHARE_TO_LIMIT;
    }

    /**
     * Whether the limit is at least this work, so that it lets such a request pass on an idle link
     * without a pause after it.
     */
    boolean admitsAlone(double workNs) {
        return limitNs >= workNs;
    }

    /**
     * Whether work may start. A limit narrower than one request admits one on an idle link, as
     * nothing would pass otherwise, and then nothing for a pause. The pause is so long that the
     * mean work in flight over both is the limit.
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
            pausedUntilNs = now + (long) (workNs * (workNs / limitNs - 1));
        }
    }

    /** Learns from a response of unknown size, which moves no limit. */
    void onUnsizedResponse(boolean onTime) {
        updateLateShare(onTime, UNSIZED_LATE_WEIGHT);
    }

    /** Adapts to one response. A limit moves only while at least half of it is used. */
    void onResponse(boolean onTime, double workNs, double meanWorkNs) {
        updateLateShare(onTime, LATE_WEIGHT);
        double min = minRequests * meanWorkNs;
        if (limitNs == Double.POSITIVE_INFINITY) {
            limitNs =
                    lateShare > LATE_SHARE_TO_LIMIT ? Math.max(min, inFlightNs + workNs) : limitNs;
        } else if (inFlightNs + workNs > limitNs / 2) {
            double decrease = Math.min((1 - toleratedLateShare) * workNs, MAX_DECREASE * limitNs);
            double increase = Math.min(toleratedLateShare * workNs, limitNs);
            limitNs = Math.max(min, limitNs + (onTime ? increase : -decrease));
        }
    }

    private void updateLateShare(boolean onTime, double weight) {
        lateShare += weight * ((onTime ? 0 : 1) - lateShare);
    }
}
