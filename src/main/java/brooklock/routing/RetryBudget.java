package brooklock.routing;

/**
 * The budget of extra attempts, for retries and for hedges of lost responses.
 *
 * <p>Each request earns a part of an extra attempt. This prevents that failures multiply the load
 * on the endpoints that are left, which shows as attempts that rise while responses fall. It holds
 * because these attempts can never be more than the earned share of requests, and the few saved
 * before.
 *
 * <p>Two kinds are not counted and bounded by the attempts of a request alone: the hedge of a
 * request whose endpoint is ejected, and the attempt that reaches further after a miss.
 */
final class RetryBudget {
    /** Extra attempts that one request earns. */
    private static final double EARNED_PER_REQUEST = 0.2;

    /** Extra attempts saved at most, and at the start. */
    private static final double MAX_SAVED = 20;

    private double saved = MAX_SAVED;

    void onRequest() {
        saved = Math.min(MAX_SAVED, saved + EARNED_PER_REQUEST);
    }

    boolean hasAttempt() {
        return saved >= 1;
    }

    void spendAttempt() {
        saved--;
    }
}
