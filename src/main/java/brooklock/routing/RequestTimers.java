package brooklock.routing;

import brooklock.routing.RouterAction.SetTimer;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The timers that a router has set, by token. State only. */
final class RequestTimers {
    /** Tokens are unsigned numbers of 32 bits. */
    private static final long TOKEN_MASK = 0xffffffffL;

    /** What a timer is for. */
    enum Purpose {
        FINAL_RESPONSE,
        HEDGE
    }

    /** A timer that has not fired yet. */
    record RequestTimer(long requestId, Purpose purpose) {}

    private final Map<Long, RequestTimer> timers = new HashMap<>();
    private long lastToken;

    /** Sets a timer, not before the next nanosecond. */
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

    /** Takes out a timer that has fired; null if it is not known. */
    RequestTimer remove(long token) {
        return timers.remove(token);
    }
}
