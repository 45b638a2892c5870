package brooklock.routing;

import brooklock.routing.RouterEvent.AttemptCompleted;

/**
 * Hedged requests: a second attempt beside the first, where the first response was lost.
 *
 * <p>Inputs: outcomes, whether their endpoints have had other outcomes since, and whether links are
 * late.
 *
 * <p>This prevents that requests wait for their deadline when responses get lost, which shows as
 * timeouts at endpoints that respond to others. Until its deadline a large response looks like a
 * lost one, so the rate of lost responses is learned first, from deadlines and from hedged requests
 * that win. What is merely late is not hedged: that would load a jammed link twice.
 */
final class HedgingPolicy {
    /**
     * Share of the time to its latency objective after which an open request is looked at again.
     */
    private static final double HEDGE_AT_OBJECTIVE_SHARE = 0.6;

    /** Rate of lost responses above which requests are hedged. */
    private static final double MIN_LOST_RATE = 0.05;

    /** Weight of a new sample in the rate of lost responses. */
    private static final double LOST_RATE_WEIGHT = 0.05;

    private final boolean allowed;
    private double lostRate;

    HedgingPolicy(RouterSettings settings) {
        allowed = settings.limits().hedgingAllowed();
    }

    boolean mayHedge(PendingRequest request) {
        return allowed && request.requestClass.idempotency() == Idempotency.IDEMPOTENT;
    }

    /** When the request is looked at again. */
    static long hedgeAtNs(PendingRequest request, long now) {
        return now + (long) ((request.objectiveAtNs - now) * HEDGE_AT_OBJECTIVE_SHARE);
    }

    /**
     * Whether an attempt's response is taken to be lost, and neither its endpoint nor the fills are
     * late.
     */
    boolean isResponseLost(Attempt attempt, FillAdmission admission) {
        return lostRate > MIN_LOST_RATE
                && !attempt.endpoint.limit.isLate()
                && !admission.isFillLate()
                && attempt.isOvertaken();
    }

    /**
     * Learns the rate of lost responses from an attempt that ends now; call it while the attempt is
     * still open. Returns whether this one counts as lost, so that it judges no limit.
     */
    boolean onCompleted(
            PendingRequest request, Attempt attempt, AttemptCompleted completed, long now) {
        boolean ok = completed.outcome() == AttemptOutcome.OK;
        boolean overdue = attempt.isOvertaken() && now >= request.finalResponseAtNs;
        Attempt first = request.attempts.get(0);
        boolean lost = (overdue && !ok) || (ok && first != attempt && first.isOvertaken());
        if (overdue || ok) {
            lostRate += LOST_RATE_WEIGHT * ((lost ? 1 : 0) - lostRate);
        }
        return overdue && lostRate > MIN_LOST_RATE;
    }
}
