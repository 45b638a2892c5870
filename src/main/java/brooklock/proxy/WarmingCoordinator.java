package brooklock.proxy;

import brooklock.config.Settings;
import brooklock.config.Settings.EndpointKind;
import brooklock.http.Fields;
import brooklock.membership.ListedEndpoint;
import brooklock.net.IoLoop;
import brooklock.routing.AttemptOutcome;
import brooklock.routing.CacheStatus;
import brooklock.routing.Endpoint;
import brooklock.routing.EndpointListKind;
import brooklock.routing.EndpointState;
import brooklock.routing.RendezvousHash;
import brooklock.routing.RouterAction.StartAttempt;
import brooklock.routing.RouterEvent;
import brooklock.routing.RouterEvent.AttemptCompleted;
import brooklock.routing.RouterEvent.EndpointListReceived;
import brooklock.warming.CacheWarming;
import brooklock.warming.CacheWarming.PeerResult;
import brooklock.warming.CacheWarming.Prefetch;
import brooklock.warming.WarmingLimits;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.LongAdder;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Executes the decisions of {@link CacheWarming}: selects peers for attempts, submits the load
 * share of each cache to the router as its weight, and sends prefetches.
 *
 * <p>Must be used on the routing thread only, except {@link #start}, {@link #close} and {@link
 * #appendState}, which any thread may call. Periodic work runs from {@link #start} to {@link
 * #close}.
 */
final class WarmingCoordinator {
    private static final Logger LOG = LoggerFactory.getLogger(WarmingCoordinator.class);
    private static final long TICK_INTERVAL_NS = 50_000_000L;
    private static final int TICKS_PER_SNAPSHOT = 20;

    private final ProxyContext context;
    private final Settings settings;
    private final IoLoop tickLoop;
    private final CacheWarming<PrefetchTarget> warming;
    private final RecentPurges recentPurges;
    private final PrefetchSender prefetchSender;
    private final Optional<WarmingSnapshotStore> snapshotStore;
    private int ticks;
    private volatile boolean closed;

    // Written by the routing thread and read by threads that render the state page.
    private final LongAdder peerHits = new LongAdder();
    private final LongAdder peerMisses = new LongAdder();
    private final LongAdder prefetches = new LongAdder();

    /**
     * Creates a new coordinator without caches.
     *
     * @param tickLoop the I/O thread whose timer drives the periodic work
     * @param prefetchSender sends prefetches
     * @param snapshotStore saves the warming state; empty if it is not to be saved
     */
    WarmingCoordinator(
            ProxyContext context,
            IoLoop tickLoop,
            PrefetchSender prefetchSender,
            Optional<WarmingSnapshotStore> snapshotStore) {
        this.context = context;
        this.tickLoop = tickLoop;
        this.prefetchSender = prefetchSender;
        this.snapshotStore = snapshotStore;
        settings = context.settings();
        recentPurges = new RecentPurges(settings.safetyLimits().purgeWindowNs());
        warming =
                new CacheWarming<>(
                        toWarmingLimits(settings),
                        (object, part, endpoint) ->
                                RendezvousHash.score(
                                        RendezvousHash.copyHash(object, part), endpoint, 1),
                        settings.localZone(),
                        settings.name(),
                        context.clock().nowNs());
    }

    private static WarmingLimits toWarmingLimits(Settings settings) {
        Settings.WarmingSettings warming = settings.warming();
        Settings.SafetyLimitSettings safetyLimits = settings.safetyLimits();
        return new WarmingLimits(
                warming.acrossZones(),
                warming.peerLoadShare(),
                warming.warmCapacityPerS() / 1e9,
                settings.dispatcherCount(),
                safetyLimits.initialCapacity(),
                safetyLimits.warmUpNs(),
                safetyLimits.overloadMultiple(),
                safetyLimits.overloadWindowNs());
    }

    // ---- The endpoint list

    /** Updates the set of caches from the endpoint list in force. */
    void onEndpointListChanged() {
        List<CacheWarming.CacheEndpoint> caches = new ArrayList<>();
        for (Endpoint endpoint :
                context.endpointRegistry().fullListEvent(EndpointListKind.FULL).endpoints()) {
            ListedEndpoint listed = context.endpointRegistry().find(endpoint.id());
            if (listed.kind() == EndpointKind.CACHE && listed.state() != EndpointState.GONE) {
                caches.add(
                        new CacheWarming.CacheEndpoint(
                                endpoint.id(),
                                endpoint.zone(),
                                listed.state() == EndpointState.READY,
                                endpoint.startedAtNs(),
                                listed.startedMs()));
            }
        }
        warming.onEndpointList(caches, context.clock().nowNs());
    }

    /**
     * Returns a copy of the list in which each weight is multiplied by the load share of its cache.
     */
    EndpointListReceived withWarmingWeights(EndpointListReceived list) {
        return new EndpointListReceived(
                list.kind(), list.endpoints().stream().map(this::withWarmingWeight).toList());
    }

    private Endpoint withWarmingWeight(Endpoint endpoint) {
        double weight = settings.fleet().weighted() ? endpoint.weight() : 1;
        return new Endpoint(
                endpoint.id(),
                endpoint.zone(),
                endpoint.kind(),
                endpoint.state(),
                weight * warming.announcedLoadShare(endpoint.id()),
                endpoint.startedAtNs());
    }

    // ---- Requests

    /** Blocks prefetches of purged objects until the purge is complete at every cache. */
    void onPurge(RouterEvent.PurgeReceived purge) {
        recentPurges.add(purge.object(), purge.group(), context.clock().nowNs() - purge.ageNs());
    }

    /** Records a request that is about to be routed. */
    void onRequest(RoutedRequest request) {
        RouteTable.Match match = request.match();
        if (!match.requestClass().passThrough() && request.client().head().method().equals("GET")) {
            warming.onRequest(
                    match.object(),
                    match.part(),
                    PrefetchTarget.of(request),
                    context.clock().nowNs());
        }
    }

    /**
     * Selects the peer that the endpoint of an attempt tries first on a cache miss.
     *
     * @return the peer's identifier, or {@link UpstreamAttempt#NO_PEER}
     */
    long selectFillPeer(StartAttempt action, RouteTable.Match match) {
        boolean fillsCopy =
                action.fillsOnMiss()
                        && action.cachePriority() != 0
                        && !match.requestClass().passThrough();
        return fillsCopy
                ? warming.selectFillPeer(
                        action.endpoint(), match.object(), match.part(), context.clock().nowNs())
                : UpstreamAttempt.NO_PEER;
    }

    /** Records a completed attempt. Must be called after the router has processed its event. */
    void onAttemptCompleted(AttemptObservation observation) {
        long nowNs = context.clock().nowNs();
        AttemptCompleted event = observation.event();
        observation.endpointLoad().ifPresent(load -> warming.onReport(event.endpoint(), load));
        if (event.outcome() == AttemptOutcome.OK) {
            warming.onResponse(
                    event.endpoint(),
                    event.cacheStatus() == CacheStatus.HIT,
                    observation.missedLatencyObjective(),
                    nowNs);
            if (observation.storesCopy()) {
                RouteTable.Match match = observation.match();
                warming.onPartCached(event.endpoint(), match.object(), match.part());
            }
        } else if (observation.isEndpointFailure()) {
            warming.onFailure(event.endpoint(), isConnectionFailure(event.outcome()), nowNs);
        }
        if (observation.peerId() != UpstreamAttempt.NO_PEER) {
            recordPeerObservation(observation, nowNs);
        }
    }

    private static boolean isConnectionFailure(AttemptOutcome outcome) {
        return outcome == AttemptOutcome.CONNECT_FAILED || outcome == AttemptOutcome.RESET;
    }

    private void recordPeerObservation(AttemptObservation observation, long nowNs) {
        AttemptCompleted event = observation.event();
        long peerId = observation.peerId();
        observation.peerLoad().ifPresent(load -> warming.onReport(peerId, load));
        if (observation.peerResult().isPresent()) {
            recordPeerResult(event.endpoint(), peerId, observation.peerResult().get(), nowNs);
        } else if (event.outcome() == AttemptOutcome.OK && event.cacheStatus() == CacheStatus.HIT) {
            warming.onPeerUnused(peerId);
        }
    }

    private void recordPeerResult(long endpointId, long peerId, PeerResult result, long nowNs) {
        if (result == PeerResult.FILLED) {
            peerHits.increment();
        } else if (result == PeerResult.MISSED) {
            peerMisses.increment();
        }
        warming.onPeerResult(endpointId, peerId, result, nowNs);
    }

    // ---- Periodic work

    /**
     * Restores the last snapshot and starts the periodic work: weight updates, prefetches and
     * snapshots.
     */
    void start() {
        snapshotStore
                .flatMap(WarmingSnapshotStore::load)
                .ifPresent(
                        snapshot ->
                                context.routingThread()
                                        .execute(
                                                () ->
                                                        warming.restore(
                                                                snapshot.entries(),
                                                                ageNs(snapshot.savedAtMs()),
                                                                context.clock().nowNs())));
        scheduleTick();
    }

    private static long ageNs(long wallMs) {
        return (System.currentTimeMillis() - wallMs) * 1_000_000L;
    }

    /** Stops the periodic work. */
    void close() {
        closed = true;
    }

    private void scheduleTick() {
        tickLoop.schedule(
                TICK_INTERVAL_NS,
                () -> {
                    if (!closed) {
                        context.routingThread()
                                .submitComputed(this::pollChangedWeights, this::startPrefetches);
                        scheduleTick();
                    }
                });
    }

    private Optional<RouterEvent> pollChangedWeights() {
        Map<Long, Double> changedShares = warming.pollChangedShares(context.clock().nowNs());
        if (++ticks % TICKS_PER_SNAPSHOT == 0) {
            snapshotStore.ifPresent(store -> store.save(warming.snapshot(context.clock().nowNs())));
        }
        if (changedShares.isEmpty()) {
            return Optional.empty();
        }
        LOG.atInfo().addKeyValue("shares", changedShares).log("warming");
        return Optional.of(
                new EndpointListReceived(
                        EndpointListKind.DELTA,
                        context
                                .endpointRegistry()
                                .fullListEvent(EndpointListKind.DELTA)
                                .endpoints()
                                .stream()
                                .filter(endpoint -> changedShares.containsKey(endpoint.id()))
                                .map(this::withWarmingWeight)
                                .toList()));
    }

    private void startPrefetches() {
        long nowNs = context.clock().nowNs();
        if (!recentPurges.allowsPrefetch(nowNs)) {
            return;
        }
        List<Prefetch<PrefetchTarget>> duePrefetches =
                warming.nextPrefetches(
                        nowNs,
                        (object, target) -> recentPurges.allowsPrefetchOf(object, target.group()));
        for (Prefetch<PrefetchTarget> prefetch : duePrefetches) {
            prefetches.increment();
            prefetchSender.send(
                    prefetch,
                    result ->
                            context.routingThread()
                                    .execute(() -> onPrefetchCompleted(prefetch, result)));
        }
    }

    private void onPrefetchCompleted(
            Prefetch<PrefetchTarget> prefetch, PrefetchRequest.Result result) {
        long nowNs = context.clock().nowNs();
        if (result instanceof PrefetchRequest.Response response) {
            warming.onPrefetchDone(prefetch, response.status() == 503, nowNs);
            prefetchSender
                    .peerResult(response)
                    .ifPresent(
                            peerResult ->
                                    recordPeerResult(
                                            prefetch.endpointId(),
                                            prefetch.peerId(),
                                            peerResult,
                                            nowNs));
            recordLoadReports(prefetch, response.fields(), response.sentAtNs(), nowNs);
        } else if (result instanceof PrefetchRequest.NoResponse failure) {
            warming.onPrefetchDone(prefetch, true, nowNs);
            failure.fields()
                    .ifPresent(
                            fields ->
                                    recordLoadReports(prefetch, fields, failure.sentAtNs(), nowNs));
        }
    }

    private void recordLoadReports(
            Prefetch<PrefetchTarget> prefetch, Fields fields, long sentAtNs, long nowNs) {
        LoadReportParser.ofEndpoint(fields, sentAtNs, nowNs)
                .ifPresent(load -> warming.onReport(prefetch.endpointId(), load));
        LoadReportParser.ofPeer(fields, sentAtNs, nowNs)
                .ifPresent(load -> warming.onReport(prefetch.peerId(), load));
    }

    /** Appends the cache warming lines to the state page. */
    void appendState(StringBuilder page) {
        page.append("warming-given ").append(peerHits.sum()).append('\n');
        page.append("warming-lacked ").append(peerMisses.sum()).append('\n');
        page.append("warming-ahead ").append(prefetches.sum()).append('\n');
    }
}
