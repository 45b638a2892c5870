package brooklock.routing;

import brooklock.routing.RouterAction.SetTimer;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The timers that a router has set, by their tokens. State only. */
final class RequestTimers {
    /** Tokens are unsigned 32-bit numbers. */
    private static final long TOKEN_MASK = 0xffffffffL;

    /** The action that a timer triggers. */
    enum Purpose {
        FINAL_RESPONSE,
        HEDGE
    }

    /** A timer that has not fired yet. */
    record RequestTimer(long requestId, Purpose purpose) {}

    private final Map<Long, RequestTimer> timers = new HashMap<>();
    private long lastToken;

    /**
     * Appends an action that sets a timer for {@code atNs}, or for the next nanosecond if that time
     * has passed.
     */
    void set(
            long atNs,
            PendingRequest request,
            Purpose purpose,
            long now,
            List<RouterAction> actions) {
        lastToken = (lastToken + 1) & TOKEN_MASK;
        timers.put(lastToken, new RequestTimer(request.id(), purpose));
        actions.add(new SetTimer(lastToken, Math.max(atNs, now + 1)));
    }

    /** Removes a timer that has fired and returns it, or null if the token is not known. */
    RequestTimer remove(long token) {
        return timers.remove(token);
    }
}
