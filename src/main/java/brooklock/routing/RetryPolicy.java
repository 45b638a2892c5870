package brooklock.routing;

import brooklock.routing.RouterSettings.RequestClass;

/**
 * Retries: whether a request may be sent again, and whether it may be rejected.
 *
 * <p>Inputs: the idempotency of the request's class, what its attempts prove of their execution,
 * and the time.
 *
 * <p>An idempotent request may always be sent again. One with an idempotency key may, once an
 * attempt may have been executed, only within the key's window from its first attempt on, and only
 * if all endpoints share keys. Any other only if each attempt is proved not to have been executed.
 * This prevents that a request is executed twice, which shows as a doubled effect behind the
 * origin. It holds because the endpoints drop repeats of a key within its window, and a repeat that
 * waits for its connection may not start after it.
 */
final class RetryPolicy {
    /** Endpoints that respond with an error before the request itself is taken to be at fault. */
    private static final int MAX_ERRORS = 3;

    private final int maxAttempts;

    RetryPolicy(RouterSettings settings) {
        maxAttempts = Math.max(1, settings.limits().maxAttempts());
    }

    boolean hasAttemptLeft(PendingRequest request) {
        return request.attempts.size() < maxAttempts;
    }

    /**
     * Whether a request without open attempts may be sent again; a late response is not worth one.
     */
    boolean mayRetry(PendingRequest request, long now) {
        return now < request.objectiveAtNs
                && request.failedEndpoints.size() < MAX_ERRORS
                && mayRepeat(request, now);
    }

    private static boolean mayRepeat(PendingRequest request, long now) {
        return switch (request.requestClass.idempotency()) {
            case IDEMPOTENT -> true;
            case IDEMPOTENCY_KEY ->
                    !request.mayHaveExecuted
                            || (request.requestClass.idempotencyScope() == IdempotencyScope.ALL
                                    && keyWindowLeftNs(request, now) > 0);
            case NOT_IDEMPOTENT -> !request.mayHaveExecuted;
        };
    }

    /** How long an attempt may wait to start: a repeat with a key only until its window ends. */
    static long startWithinNs(PendingRequest request, long timeoutNs, long now) {
        return request.mayHaveExecuted
                        && request.requestClass.idempotency() == Idempotency.IDEMPOTENCY_KEY
                ? Math.min(timeoutNs, keyWindowLeftNs(request, now))
                : timeoutNs;
    }

    /**
     * Whether the request may be rejected, as the client's retry would be harmless; else it fails.
     * What is idempotent, or has a key that all endpoints share, may be rejected even if an attempt
     * has run or is open. The key's window is not looked at: the retry is harmless only in a window
     * that outlasts the deadline and the time in which the client retries.
     */
    static boolean mayReject(PendingRequest request) {
        RequestClass requestClass = request.requestClass;
        return requestClass.idempotency() == Idempotency.IDEMPOTENT
                || (!request.mayHaveExecuted && request.openAttempts == 0)
                || (requestClass.idempotency() == Idempotency.IDEMPOTENCY_KEY
                        && requestClass.idempotencyScope() == IdempotencyScope.ALL);
    }

    private static long keyWindowLeftNs(PendingRequest request, long now) {
        return request.firstDecidedAtNs + request.requestClass.idempotencyWindowNs() - now;
    }
}
