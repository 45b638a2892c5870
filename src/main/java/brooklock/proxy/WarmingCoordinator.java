package brooklock.proxy;

import brooklock.config.Settings;
import brooklock.config.Settings.EndpointKind;
import brooklock.config.Settings.RequestClassSettings;
import brooklock.http.Fields;
import brooklock.http.RequestHead;
import brooklock.membership.EndpointListFile;
import brooklock.membership.ListedEndpoint;
import brooklock.net.IoLoop;
import brooklock.routing.AttemptOutcome;
import brooklock.routing.CacheStatus;
import brooklock.routing.Endpoint;
import brooklock.routing.EndpointListKind;
import brooklock.routing.EndpointState;
import brooklock.routing.Router;
import brooklock.routing.RouterAction.StartAttempt;
import brooklock.routing.RouterEvent.AttemptCompleted;
import brooklock.routing.RouterEvent.EndpointListReceived;
import brooklock.warming.CacheWarming;
import brooklock.warming.CacheWarming.PeerResult;
import brooklock.warming.LoadReport;
import brooklock.warming.WarmingLimits;
import brooklock.warming.WarmingSnapshotCodec;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Carries out what {@link CacheWarming} says: turns what happens into its terms, names neighbours
 * in attempts, hands shares to the module as weights, sends fetches ahead. Everything but the
 * fetches' sockets is the decision thread's own.
 */
final class WarmingCoordinator {
    private static final Logger LOG = LoggerFactory.getLogger(WarmingCoordinator.class);
    // How often shares are told and fetches are looked for.
    private static final long TICK_INTERVAL_NS = 50_000_000L;
    // Ticks after which what was learned is written down.
    private static final int TICKS_PER_SAVE = 20;

    // Purges remembered.
    private static final int MAX_REMEMBERED_PURGES = 4096;
    // Hosts may be as late again in dropping what a copy brought them on the last moment.
    private static final long PURGE_MARGIN_NS = 1_000_000_000L;

    /** What is needed to ask for a part without a client. */
    record PrefetchTarget(
            String target, String host, int group, RequestClassSettings requestClass) {}

    private final Dispatcher dispatcher;
    private final CacheWarming<PrefetchTarget> warming;
    private final Settings settings;
    // What was purged, by object or group, and when no older copy is left.
    private final Map<String, Long> purgedUntilNs = new LinkedHashMap<>();
    private long prefetchBlockedUntilNs;
    private int ticks;
    private int nextLoop;
    private long peerHits;
    private long peerMisses;
    private long prefetches;

    WarmingCoordinator(Dispatcher dispatcher) {
        this.dispatcher = dispatcher;
        settings = dispatcher.settings;
        Settings.InvariantSettings guards = settings.invariants();
        warming =
                new CacheWarming<>(
                        new WarmingLimits(
                                settings.warming().acrossZones(),
                                settings.warming().peerLoadShare(),
                                settings.warming().warmCapacityPerS() / 1e9,
                                settings.dispatcherCount(),
                                guards.coldStartShare(),
                                guards.warmUpNs(),
                                guards.overloadMultiple(),
                                guards.overloadWindowNs()),
                        (object, part, host) -> Router.score(Router.copy(object, part), host, 1),
                        settings.localZone(),
                        settings.name(),
                        dispatcher.clock.nowNs());
    }

    // ---- The list

    /** The list in force has changed: what the module is told of it, with the shares as weights. */
    EndpointListReceived onEndpointList(EndpointListReceived endpoints) {
        List<CacheWarming.CacheEndpoint> cacheServers = new ArrayList<>();
        for (Endpoint entry :
                dispatcher.endpointRegistry.fullEndpointList(EndpointListKind.FULL).endpoints()) {
            ListedEndpoint member = dispatcher.endpointRegistry.find(entry.id());
            if (member.kind() == EndpointKind.CACHE && member.state() != EndpointState.GONE) {
                cacheServers.add(
                        new CacheWarming.CacheEndpoint(
                                entry.id(),
                                entry.zone(),
                                member.state() == EndpointState.READY,
                                entry.startedAtNs(),
                                member.startedMs()));
            }
        }
        warming.onEndpointList(cacheServers, dispatcher.clock.nowNs());
        return endpoints == null
                ? null
                : new EndpointListReceived(
                        endpoints.kind(),
                        endpoints.endpoints().stream().map(this::withWarmingWeight).toList());
    }

    private Endpoint withWarmingWeight(Endpoint entry) {
        double weight = settings.fleet().weighted() ? entry.weight() : 1;
        return new Endpoint(
                entry.id(),
                entry.zone(),
                entry.kind(),
                entry.state(),
                weight * warming.loadShare(entry.id()),
                entry.startedAtNs());
    }

    // ---- Requests

    /**
     * Something was purged so long ago. Until no older copy is left anywhere nothing of it is
     * fetched ahead: the copy that a neighbour gives might be one, and be kept.
     */
    void onPurge(long object, int group, long ageNs) {
        long untilNs =
                dispatcher.clock.nowNs()
                        - ageNs
                        + settings.invariants().purgeCompletionNs()
                        + PURGE_MARGIN_NS;
        if (purgedUntilNs.size() >= MAX_REMEMBERED_PURGES) {
            // No room to remember which: then nothing at all is fetched ahead until this one is
            // over.
            prefetchBlockedUntilNs = Math.max(prefetchBlockedUntilNs, untilNs);
        } else {
            purgedUntilNs.merge(object != 0 ? "o" + object : "g" + group, untilNs, Math::max);
        }
    }

    /** A request is decided about. */
    void onRequest(ProxyExchange exchange) {
        if (!exchange.match.requestClass().passThrough()
                && exchange.client.head().method().equals("GET")) {
            warming.onRequest(
                    exchange.match.object(),
                    exchange.match.part(),
                    new PrefetchTarget(
                            exchange.client.head().target(),
                            exchange.client.head().authority(),
                            exchange.match.group(),
                            exchange.match.requestClass()),
                    dispatcher.clock.nowNs());
        }
    }

    /** The neighbour that an attempt is to be filled from first; 0 for none. */
    long peerFor(StartAttempt action, ProxyExchange exchange) {
        return action.fillSource() == action.endpoint()
                        || action.cachePriority() == 0
                        || exchange.match.requestClass().passThrough()
                ? 0
                : warming.selectFillPeer(
                        action.endpoint(),
                        exchange.match.object(),
                        exchange.match.part(),
                        dispatcher.clock.nowNs());
    }

    /** An attempt has ended. */
    void onAttemptEnded(
            AttemptCompleted done,
            RouteTable.Match match,
            boolean storesCopy,
            long peerId,
            LoadReport hostLoadReport,
            String peerFillWord,
            LoadReport peerLoadReport,
            boolean missedLatencyObjective) {
        long nowNs = dispatcher.clock.nowNs();
        onEndpointList(done.endpoint(), hostLoadReport);
        if (done.outcome() == AttemptOutcome.OK) {
            warming.onResponse(
                    done.endpoint(),
                    done.cacheStatus() == CacheStatus.HIT,
                    missedLatencyObjective,
                    nowNs);
            if (storesCopy) {
                warming.onFilled(done.endpoint(), match.object(), match.part());
            }
        } else if ((done.outcome() == AttemptOutcome.OVERLOADED
                                || done.outcome() == AttemptOutcome.ERROR)
                        && done.cacheStatus() == CacheStatus.NONE
                || done.outcome() == AttemptOutcome.TIMEOUT
                || done.outcome() == AttemptOutcome.CONNECT_FAILED
                || done.outcome() == AttemptOutcome.RESET) {
            warming.onFailure(
                    done.endpoint(),
                    done.outcome() == AttemptOutcome.CONNECT_FAILED
                            || done.outcome() == AttemptOutcome.RESET,
                    nowNs);
        }
        if (peerId == 0) {
            return;
        }
        onEndpointList(peerId, peerLoadReport);
        if (peerFillWord != null) {
            onPeerFillResult(
                    done.endpoint(),
                    peerId,
                    peerFillWord.equals("gave")
                            ? PeerResult.FILLED
                            : peerFillWord.equals("lacked") ? PeerResult.MISSED : PeerResult.FAILED,
                    nowNs);
        } else if (done.outcome() == AttemptOutcome.OK && done.cacheStatus() == CacheStatus.HIT) {
            warming.onPeerUnused(peerId);
        }
    }

    private void onEndpointList(long host, LoadReport loadReport) {
        if (loadReport != null) {
            warming.onReport(host, loadReport);
        }
    }

    private void onPeerFillResult(long host, long peerId, PeerResult fillResult, long nowNs) {
        peerHits += fillResult == PeerResult.FILLED ? 1 : 0;
        peerMisses += fillResult == PeerResult.MISSED ? 1 : 0;
        warming.onPeerResult(host, peerId, fillResult, nowNs);
    }

    // ---- By itself

    /** Begins to tell shares and to fetch ahead. */
    void start() {
        restoreSnapshot();
        scheduleTick();
    }

    private void scheduleTick() {
        dispatcher
                .loop(0)
                .schedule(
                        TICK_INTERVAL_NS,
                        () -> {
                            if (!dispatcher.isClosed()) {
                                dispatcher.routingThread.submitSupplied(
                                        this::updateWeights, this::startPrefetches);
                                scheduleTick();
                            }
                        });
    }

    private EndpointListReceived updateWeights() {
        Map<Long, Double> changedShares = warming.changedShares(dispatcher.clock.nowNs());
        if (++ticks % TICKS_PER_SAVE == 0) {
            saveSnapshot();
        }
        if (changedShares.isEmpty()) {
            return null;
        }
        LOG.atInfo().addKeyValue("shares", changedShares).log("warming");
        return new EndpointListReceived(
                EndpointListKind.DELTA,
                dispatcher
                        .endpointRegistry
                        .fullEndpointList(EndpointListKind.DELTA)
                        .endpoints()
                        .stream()
                        .filter(e -> changedShares.containsKey(e.id()))
                        .map(this::withWarmingWeight)
                        .toList());
    }

    private void startPrefetches() {
        long nowNs = dispatcher.clock.nowNs();
        purgedUntilNs.values().removeIf(until -> nowNs > until);
        if (nowNs < prefetchBlockedUntilNs) {
            return;
        }
        for (CacheWarming.Prefetch<PrefetchTarget> prefetch :
                warming.nextPrefetches(
                        nowNs,
                        (object, how) ->
                                !purgedUntilNs.containsKey("o" + object)
                                        && !purgedUntilNs.containsKey("g" + how.group()))) {
            ListedEndpoint host = dispatcher.endpointRegistry.find(prefetch.endpointId());
            ListedEndpoint source = dispatcher.endpointRegistry.find(prefetch.sourceId());
            prefetches++;
            IoLoop loop = dispatcher.loop(nextLoop++ % dispatcher.loopCount());
            RequestHead head = prefetchHead(prefetch, host, source);
            loop.execute(
                    () ->
                            new PrefetchRequest(
                                            dispatcher,
                                            prefetch.endpointId(),
                                            prefetch.sourceId(),
                                            (status, fields, sentAtNs) ->
                                                    dispatcher.routingThread.submitSupplied(
                                                            () -> null,
                                                            () ->
                                                                    onPrefetchComplete(
                                                                            prefetch, status,
                                                                            fields, sentAtNs)))
                                    .send(loop, host.address(), head));
        }
    }

    private RequestHead prefetchHead(
            CacheWarming.Prefetch<PrefetchTarget> prefetch,
            ListedEndpoint host,
            ListedEndpoint source) {
        Fields fields = new Fields().add("Via", "1.1 " + settings.name());
        fields.add(
                "Brooklock-Copy",
                "object="
                        + Long.toHexString(prefetch.object())
                        + ", part="
                        + prefetch.part()
                        + ", group="
                        + prefetch.request().group()
                        + ", class="
                        + prefetch.request().requestClass().name());
        fields.add(
                "Brooklock-Get",
                "keep=2, source="
                        + source.name()
                        + ", at="
                        + UpstreamRequestBuilder.quotedAddress(source)
                        + (prefetch.request().requestClass().freshnessNs() > 0
                                ? ", oldest="
                                        + prefetch.request().requestClass().freshnessNs() / 1000
                                : "")
                        + ", join, held-only, fetch");
        fields.add(
                "Brooklock-Attempt", "id=0, try=0, left=" + PrefetchRequest.MAX_DURATION_NS / 1000);
        return new RequestHead(
                "GET",
                prefetch.request().target(),
                prefetch.request().host().isEmpty() ? host.name() : prefetch.request().host(),
                1,
                fields);
    }

    private void onPrefetchComplete(
            CacheWarming.Prefetch<PrefetchTarget> prefetch,
            int status,
            Fields fields,
            long sentAtNs) {
        long nowNs = dispatcher.clock.nowNs();
        warming.onPrefetchDone(prefetch, status == 0 || status == 503, nowNs);
        switch (status) {
            case 204 ->
                    onPeerFillResult(
                            prefetch.endpointId(), prefetch.sourceId(), PeerResult.FILLED, nowNs);
            case 504 ->
                    onPeerFillResult(
                            prefetch.endpointId(), prefetch.sourceId(), PeerResult.MISSED, nowNs);
            case 502 ->
                    onPeerFillResult(
                            prefetch.endpointId(), prefetch.sourceId(), PeerResult.FAILED, nowNs);
            default -> {
                // Nothing was asked of the source, or it is not known.
            }
        }
        if (fields != null) {
            onEndpointList(
                    prefetch.endpointId(),
                    parseLoadReport(fields, "Brooklock-Load", sentAtNs, nowNs));
            onEndpointList(
                    prefetch.sourceId(),
                    parseLoadReport(fields, "Brooklock-First-Load", sentAtNs, nowNs));
        }
    }

    /** What a host says of itself, or null. */
    static LoadReport parseLoadReport(Fields fields, String fieldName, long sentAtNs, long nowNs) {
        String text = fields.get(fieldName);
        if (text == null) {
            return null;
        }
        double utilization = -1;
        double hitRatio = -1;
        int requestsInFlight = -1;
        for (String pair : text.split(", *")) {
            int eq = pair.indexOf('=');
            if (eq > 0 && pair.substring(eq + 1).matches("\\d{1,6}(\\.\\d{1,6})?")) {
                double number = Double.parseDouble(pair.substring(eq + 1));
                switch (pair.substring(0, eq)) {
                    case "util" -> utilization = number;
                    case "x0" -> hitRatio = number;
                    case "inflight" -> requestsInFlight = (int) number;
                    default -> {
                        // Of a newer host.
                    }
                }
            }
        }
        return new LoadReport(utilization, requestsInFlight, hitRatio, sentAtNs, nowNs);
    }

    // ---- What lasts

    private void saveSnapshot() {
        Path path = settings.warming().snapshotFile();
        if (path == null) {
            return;
        }
        String text =
                WarmingSnapshotCodec.encode(
                        System.currentTimeMillis(), warming.snapshot(dispatcher.clock.nowNs()));
        dispatcher.runInBackground(
                () -> {
                    try {
                        EndpointListFile.replaceAtomically(path, text, false);
                    } catch (IOException e) {
                        LOG.error("what was learned of cold caches cannot be written down", e);
                    }
                });
    }

    private void restoreSnapshot() {
        Path path = settings.warming().snapshotFile();
        if (path == null) {
            return;
        }
        try {
            WarmingSnapshotCodec.WarmingSnapshot snapshot =
                    WarmingSnapshotCodec.decode(Files.readString(path, StandardCharsets.UTF_8));
            dispatcher.routingThread.submitSupplied(
                    () -> {
                        warming.restore(
                                snapshot.entries(),
                                (System.currentTimeMillis() - snapshot.savedAtMs()) * 1_000_000L,
                                dispatcher.clock.nowNs());
                        return null;
                    },
                    () -> {});
        } catch (NoSuchFileException first) {
            // The first start.
        } catch (IOException | IllegalArgumentException e) {
            LOG.warn("what was written down of cold caches is not used: {}", e.getMessage());
        }
    }

    /** For the state: what neighbours gave and lacked, and what was fetched ahead. */
    void appendState(StringBuilder page) {
        page.append("warming-given ")
                .append(peerHits)
                .append('\n')
                .append("warming-lacked ")
                .append(peerMisses)
                .append('\n')
                .append("warming-ahead ")
                .append(prefetches)
                .append('\n');
    }
}
