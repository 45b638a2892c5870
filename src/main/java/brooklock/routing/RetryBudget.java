package brooklock.routing;

/**
 * The share of extra attempts, retries and hedged requests alike. It prevents that failures
 * multiply the load on the endpoints that are left, which shows as attempts that grow while
 * responses fall.
 */
final class RetryBudget {
    /** Extra attempts that one request earns. */
    private static final double EARNED_PER_REQUEST = 0.2;

    /** Extra attempts saved at most, also at the start. */
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
