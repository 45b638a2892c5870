package brooklock.routing;

import brooklock.routing.RouterEvent.AttemptCompleted;

/**
 * Hedged requests: decides when a second attempt is started beside a first one whose response was
 * lost.
 *
 * <p>Inputs: outcomes, whether the endpoint of an open attempt has had other outcomes since the
 * attempt started, and whether links are congested.
 *
 * <p>Without hedging, requests whose responses are lost would wait for their deadline and time out
 * at endpoints that respond to other requests. Until its deadline, a large response that is still
 * in transit looks like a lost one. Hedging therefore starts only once enough responses are known
 * to be lost, which is learned from requests that reached their deadline and from hedged requests
 * that succeeded. A response that is merely late is not hedged, because that would load a congested
 * link twice.
 */
final class HedgingPolicy {
    /**
     * Share of the time to its latency objective after which an open request is considered for
     * hedging.
     */
    private static final double HEDGE_AT_OBJECTIVE_SHARE = 0.6;

    /** Rate of lost responses above which requests are hedged. */
    private static final double MIN_LOST_RATE = 0.05;

    /** Weight of a new sample in the rate of lost responses. */
    private static final double LOST_RATE_WEIGHT = 0.05;

    private final boolean hedgingAllowed;
    private double lostRate;

    HedgingPolicy(RouterSettings settings) {
        hedgingAllowed = settings.limits().hedgingAllowed();
    }

    boolean mayHedge(PendingRequest request) {
        return hedgingAllowed && request.requestClass.idempotency() == Idempotency.IDEMPOTENT;
    }

    /** Returns the time at which the request is considered for hedging, in nanoseconds. */
    static long hedgeAtNs(PendingRequest request, long now) {
        return now + (long) ((request.objectiveAtNs - now) * HEDGE_AT_OBJECTIVE_SHARE);
    }

    /**
     * Returns whether an attempt's response is presumed lost: it is missing, many responses are
     * lost at present, and neither the endpoint's link nor the fill link is congested, which would
     * explain a late response.
     */
    boolean isResponseLost(Attempt attempt, FillAdmission admission) {
        return lostRate > MIN_LOST_RATE
                && !attempt.endpoint.limit.isCongested()
                && !admission.isFillLinkCongested()
                && attempt.isResponseMissing();
    }

    /**
     * Updates the rate of lost responses with an attempt that ends. Must be called while the
     * attempt still counts as open.
     *
     * @return whether the response is presumed lost, in which case no link is at fault
     */
    boolean onCompleted(
            PendingRequest request, Attempt attempt, AttemptCompleted completed, long now) {
        boolean ok = completed.outcome() == AttemptOutcome.OK;
        boolean overdue =
                attempt.isResponseMissing()
                        && now >= request.finalResponseAtNs
                        && request.waitsForObjective();
        Attempt firstAttempt = request.attempts.get(0);
        boolean lost =
                (overdue && !ok)
                        || (ok && firstAttempt != attempt && firstAttempt.isResponseMissing());
        if (overdue || ok) {
            lostRate += LOST_RATE_WEIGHT * ((lost ? 1 : 0) - lostRate);
        }
        return overdue && lostRate > MIN_LOST_RATE;
    }
}
