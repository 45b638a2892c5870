package brooklock.faulttest;

import brooklock.routing.RouterEvent.RequestReceived;
import java.util.HashSet;
import java.util.Set;

/**
 * The state of a request that {@link OracleRouter} handles. Times are on the router's clock. Used
 * on the routing thread only.
 */
final class OracleRequest {
    final RequestReceived request;
    final long acceptedNs;

    /**
     * Whether the object was requested before in the current or the previous counting interval.
     * Such an object has a higher priority for fills and cached copies.
     */
    final boolean recentlyRequested;

    final Set<Long> failedEndpoints = new HashSet<>();
    int attemptsSent;
    long firstSentNs;

    /** Whether the last attempt is in flight. */
    boolean inFlight;

    /** When the attempt in flight times out if its response has not started. */
    long timeoutAtNs;

    /** Whether an earlier attempt may have been executed. */
    boolean possiblyExecuted;

    OracleRequest(RequestReceived request, long acceptedNs, boolean recentlyRequested) {
        this.request = request;
        this.acceptedNs = acceptedNs;
        this.recentlyRequested = recentlyRequested;
    }
}
