package brooklock.proxy;

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
        Optional<LoadReport> peerLoad) {}
