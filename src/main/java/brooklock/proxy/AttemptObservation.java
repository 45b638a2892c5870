package brooklock.proxy;

import brooklock.routing.RouterEvent.AttemptCompleted;
import brooklock.warming.CacheWarming.PeerResult;
import brooklock.warming.LoadReport;
import java.util.Optional;

/**
 * What the warming of caches learns from an attempt.
 *
 * @param event the event that the router gets
 * @param match what was requested
 * @param storesCopy whether the endpoint was to cache the copy
 * @param missedLatencyObjective whether it took longer than the class's latency objective
 * @param endpointLoad what the endpoint says of its load
 * @param peerId the peer that a cache miss was to be filled from first, or {@link
 *     UpstreamAttempt#NO_PEER}
 * @param peerResult what came of that; empty if the peer got no request
 * @param peerLoad what the peer says of its load
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
