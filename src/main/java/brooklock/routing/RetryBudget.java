package brooklock.routing;

/**
 * Limits extra attempts, for retries and for hedged requests whose response was lost, to a share of
 * the requests.
 *
 * <p>Each request earns a fraction of an extra attempt. Without this limit, failures would multiply
 * the load on the remaining endpoints: the number of attempts would rise while that of responses
 * falls. Extra attempts can never exceed the earned share of the requests plus a small number of
 * saved attempts.
 *
 * <p>Two kinds of attempts are not counted, because the maximum number of attempts of a request
 * bounds them: the hedged attempt of a request whose endpoint is ejected, and the attempt that uses
 * a further tier after a cache miss.
 */
final class RetryBudget {
    /** Extra attempts earned by each request. */
    private static final double ATTEMPTS_EARNED_PER_REQUEST = 0.2;

    /** Maximum number of saved extra attempts, and their number at the start. */
    private static final double MAX_SAVED_ATTEMPTS = 20;

    private double savedAttempts = MAX_SAVED_ATTEMPTS;

    void onRequest() {
        savedAttempts = Math.min(MAX_SAVED_ATTEMPTS, savedAttempts + ATTEMPTS_EARNED_PER_REQUEST);
    }

    boolean hasAvailableAttempt() {
        return savedAttempts >= 1;
    }

    void spendAttempt() {
        savedAttempts--;
    }
}
