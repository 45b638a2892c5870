package brooklock.routing;

import brooklock.routing.RouterSettings.RequestClass;

/**
 * Decides whether a request may be sent again and whether it may be rejected.
 *
 * <p>Inputs: the idempotency of the request's class, whether the outcomes of its attempts prove
 * that it was not executed, and the time.
 *
 * <p>An idempotent request may always be sent again. Once an attempt of a request with an
 * idempotency key may have been executed, the request may be sent again only within the key's
 * window, which is counted from the first attempt, and only if all endpoints share keys. Any other
 * request may be sent again only if each attempt is proved not to have been executed. Otherwise a
 * request could be executed twice and double its effect behind the origin. Endpoints drop repeats
 * of a key only within its window, so a repeat that waits for its connection may not start after
 * the window has ended.
 */
final class RetryPolicy {
    /**
     * Number of endpoints that respond with an error before the request itself is assumed to be at
     * fault.
     */
    private static final int MAX_FAILED_ENDPOINTS = 3;

    private final int maxAttempts;

    RetryPolicy(RouterSettings settings) {
        maxAttempts = Math.max(1, settings.limits().maxAttempts());
    }

    boolean hasAttemptsLeft(PendingRequest request) {
        return request.attempts.size() < maxAttempts;
    }

    /**
     * Returns whether a request without open attempts may be sent again. A request past its latency
     * objective is not sent again, because its response would be late.
     */
    boolean mayRetry(PendingRequest request, long now) {
        return now < request.objectiveAtNs
                && request.failedEndpoints.size() < MAX_FAILED_ENDPOINTS
                && mayRepeat(request, now);
    }

    private static boolean mayRepeat(PendingRequest request, long now) {
        return switch (request.requestClass.idempotency()) {
            case IDEMPOTENT -> true;
            case IDEMPOTENCY_KEY ->
                    !request.mayHaveExecuted
                            || (request.requestClass.idempotencyScope() == IdempotencyScope.ALL
                                    && remainingKeyWindowNs(request, now) > 0);
            case NOT_IDEMPOTENT -> !request.mayHaveExecuted;
        };
    }

    /**
     * Returns the time within which an attempt must start, in nanoseconds: {@code timeoutNs} or,
     * for a request with an idempotency key that may have been executed, the rest of the key's
     * window if that is shorter.
     */
    static long startTimeoutNs(PendingRequest request, long timeoutNs, long now) {
        return request.mayHaveExecuted
                        && request.requestClass.idempotency() == Idempotency.IDEMPOTENCY_KEY
                ? Math.min(timeoutNs, remainingKeyWindowNs(request, now))
                : timeoutNs;
    }

    /**
     * Returns whether the request may be rejected, that is, whether a retry by the client would be
     * harmless; otherwise it fails. A request that is idempotent, or has a key that all endpoints
     * share, may be rejected even if an attempt has been executed or is open. The key's window is
     * not checked here: a retry is harmless only if the configured window outlasts the deadline and
     * the time within which the client retries.
     */
    static boolean mayReject(PendingRequest request) {
        RequestClass requestClass = request.requestClass;
        return requestClass.idempotency() == Idempotency.IDEMPOTENT
                || (!request.mayHaveExecuted && request.openAttempts == 0)
                || (requestClass.idempotency() == Idempotency.IDEMPOTENCY_KEY
                        && requestClass.idempotencyScope() == IdempotencyScope.ALL);
    }

    private static long remainingKeyWindowNs(PendingRequest request, long now) {
        return request.firstAttemptAtNs + request.requestClass.idempotencyWindowNs() - now;
    }
}
