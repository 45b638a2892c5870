package brooklock.faulttest;

import brooklock.routing.RouterEvent.RequestReceived;
import java.util.HashSet;
import java.util.Set;

/** A request while {@link OracleRouter} handles it. Times on the router's clock. */
final class OracleRequest {
    final RequestReceived request;
    final long acceptedNs;

    /** Whether the object was requested before, lately: then it is worth a fill and a copy. */
    final boolean recentlyRequested;

    final Set<Long> failedEndpoints = new HashSet<>();
    int attemptsSent;
    long firstSentNs;

    /** Whether the last attempt is in flight. */
    boolean inFlight;

    /** When the attempt in flight counts as lost. */
    long timeoutAtNs;

    boolean possiblyExecuted;

    OracleRequest(RequestReceived request, long acceptedNs, boolean recentlyRequested) {
        this.request = request;
        this.acceptedNs = acceptedNs;
        this.recentlyRequested = recentlyRequested;
    }
}
