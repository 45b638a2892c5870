package brooklock.proxy;

import brooklock.routing.CacheStatus;
import brooklock.routing.RouterEvent.AttemptCompleted;
import brooklock.warming.CacheWarming.PeerResult;
import brooklock.warming.LoadReport;
import java.util.Optional;

/**
 * The data of a completed attempt that cache warming uses. Immutable.
 *
 * @param event the event that is submitted to the router
 * @param match the request's class, object, part and purge group
 * @param storesCopy whether the endpoint was instructed to cache the response
 * @param missedLatencyObjective whether the attempt took longer than the latency objective of its
 *     class
 * @param endpointLoad the load that the endpoint reported, if any
 * @param peerId the peer that the endpoint was to try first on a cache miss, or {@link
 *     UpstreamAttempt#NO_PEER}
 * @param peerResult the result of the request to the peer; empty if none was sent
 * @param peerLoad the load that the peer reported, if any
 */
record AttemptObservation(
        AttemptCompleted event,
        RouteTable.Match match,
        boolean storesCopy,
        boolean missedLatencyObjective,
        Optional<LoadReport> endpointLoad,
        long peerId,
        Optional<PeerResult> peerResult,
        Optional<LoadReport> peerLoad) {
    /**
     * Returns whether the endpoint itself failed, as opposed to its fill source or the client. An
     * attempt that timed out before the latency objective is no failure: it had too little time,
     * for example because the client had shortened the deadline.
     */
    boolean isEndpointFailure() {
        return switch (event.outcome()) {
            case OVERLOADED, ERROR -> event.cacheStatus() == CacheStatus.NONE;
            case CONNECT_FAILED, RESET -> true;
            case TIMEOUT -> missedLatencyObjective;
            default -> false;
        };
    }
}
