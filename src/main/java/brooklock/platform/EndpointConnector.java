package brooklock.platform;

import brooklock.net.IoLoop;
import brooklock.routing.AttemptOutcome;
import brooklock.routing.CacheStatus;
import brooklock.routing.RouterAction.StartAttempt;
import brooklock.routing.RouterEvent.EndpointListReceived;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Predicate;

/**
 * The cache hosts, parents and the origin: attempts as frames on their connections. Belongs to the
 * I/O thread.
 */
final class EndpointConnector
        implements RequestExecutor.AttemptTransport, EndpointConnectionPool.ConnectionBudget {
    // Connections to one host however many descriptors there are, and however few.
    private static final int MAX_CONNECTIONS_PER_ENDPOINT = 48;
    private static final int MIN_CONNECTIONS_PER_ENDPOINT = 2;
    // How long before its host's own time an idle connection is closed here, so that none is used
    // as it closes.
    private static final long IDLE_MARGIN_NS = 5_000_000_000L;
    private static final long SWEEP_INTERVAL_NS = 1_000_000_000L;

    private final IoLoop loop;
    private final EndpointTable table;
    private final EndpointConnectionPool.ConnectionFactory connectionFactory;
    private final long idleTimeoutNs;
    private final int maxInFlightPerConnection;
    private final long connectTimeoutNs;
    private final int maxConnections;
    private final Map<Long, EndpointConnectionPool> pools = new HashMap<>();
    private RequestExecutor executor;
    private boolean closed;

    /**
     * No connections yet.
     *
     * @param descriptors connections to all hosts together
     * @param dialer makes connections
     */
    EndpointConnector(
            IoLoop loop,
            EndpointTable table,
            PlatformConfig config,
            int maxConnections,
            EndpointConnectionPool.ConnectionFactory connectionFactory) {
        this.loop = loop;
        this.table = table;
        this.connectionFactory = connectionFactory;
        idleTimeoutNs =
                Math.max(config.idleTimeoutNs() / 2, config.idleTimeoutNs() - IDLE_MARGIN_NS);
        maxInFlightPerConnection = Math.max(1, config.maxInFlightPerConnection());
        connectTimeoutNs = config.routerSettings().limits().connectTimeoutNs();
        this.maxConnections = maxConnections;
    }

    void start(RequestExecutor requestExecutor) {
        executor = requestExecutor;
        sweep();
    }

    private void sweep() {
        if (closed) {
            return;
        }
        long idleBeforeNs = System.nanoTime() - idleTimeoutNs;
        pools.values().forEach(pool -> pool.closeIdleSince(idleBeforeNs));
        List<EndpointTable.Entry> departed = new ArrayList<>();
        for (EndpointTable.Entry entry : table.all()) {
            if (entry.isGone()) {
                departed.add(entry);
            }
        }
        departed.forEach(table::remove);
        loop.schedule(SWEEP_INTERVAL_NS, this::sweep);
    }

    /** Takes news of the list. */
    void onListUpdate(DiscoveryEvent.EndpointListUpdate update) {
        EndpointListReceived list = table.apply(update);
        for (EndpointTable.Entry entry : table.all()) {
            EndpointConnectionPool pool = pools.get(entry.id);
            if (pool != null && (entry.isGone() || !pool.hasAddress(entry.address))) {
                pools.remove(entry.id);
                pool.retire();
            }
        }
        executor.submit(list);
        returnQueued(attempt -> !isCurrent(attempt));
    }

    /** Takes a purge that the module has been told of. */
    void onPurge(long objectId, int group) {
        returnQueued(
                attempt ->
                        objectId != 0
                                ? objectId == attempt.request.clientRequest.objectId()
                                : group == attempt.request.clientRequest.group());
    }

    // What was decided before the news and has not begun is decided anew.
    private void returnQueued(Predicate<Attempt> affected) {
        for (EndpointConnectionPool pool : List.copyOf(pools.values())) {
            for (Attempt attempt : pool.queuedAttempts()) {
                if (affected.test(attempt)) {
                    pool.dequeue(attempt);
                    executor.completeAttempt(
                            attempt, AttemptOutcome.NOT_STARTED, CacheStatus.NONE, 0, null);
                }
            }
        }
    }

    // Whether the list says of its host and its source what it said when the attempt was decided.
    private boolean isCurrent(Attempt attempt) {
        EndpointTable.Entry endpoint = table.get(attempt.decision.endpoint());
        EndpointTable.Entry source = table.get(attempt.decision.fillSource());
        return endpoint != null
                && source != null
                && attempt.endpointAtDecision.equals(endpoint.listing)
                && attempt.sourceAtDecision.equals(source.listing);
    }

    /** Closes what is open, whatever it is at. */
    void close() {
        closed = true;
        List.copyOf(pools.values()).forEach(EndpointConnectionPool::retire);
    }

    /** Connections to each host and attempts on them, for the log. */
    String summary() {
        StringBuilder out = new StringBuilder();
        pools.values().forEach(pool -> out.append(pool.summary()).append(' '));
        return out.toString();
    }

    @Override
    public void send(Attempt attempt) {
        EndpointTable.Entry endpoint = table.get(attempt.decision.endpoint());
        EndpointTable.Entry source = table.get(attempt.decision.fillSource());
        if (endpoint == null || source == null || endpoint.isGone()) {
            // Left since the module chose it; what it is told of that is on its way.
            executor.completeAttempt(
                    attempt, AttemptOutcome.CONNECT_FAILED, CacheStatus.NONE, 0, null);
            return;
        }
        attempt.endpointAtDecision = endpoint.listing;
        attempt.sourceAtDecision = source.listing;
        pools.computeIfAbsent(
                        endpoint.id,
                        n ->
                                new EndpointConnectionPool(
                                        endpoint.name,
                                        loop,
                                        connectionFactory,
                                        endpoint.address,
                                        connectTimeoutNs,
                                        maxInFlightPerConnection,
                                        this,
                                        this::encodeRequest,
                                        executor::completeAttempt))
                .send(attempt);
    }

    @Override
    public boolean permits(int connections) {
        return connections
                        < Math.max(
                                MIN_CONNECTIONS_PER_ENDPOINT,
                                Math.min(
                                        MAX_CONNECTIONS_PER_ENDPOINT,
                                        maxConnections / Math.max(1, table.presentCount())))
                && (connectionCount() < maxConnections || longestIdle() != null);
    }

    @Override
    public void makeRoom() {
        if (connectionCount() >= maxConnections) {
            longestIdle().close();
        }
    }

    private int connectionCount() {
        return pools.values().stream().mapToInt(EndpointConnectionPool::connectionCount).sum();
    }

    private EndpointConnection longestIdle() {
        return pools.values().stream()
                .map(EndpointConnectionPool::longestIdle)
                .filter(Objects::nonNull)
                .min(Comparator.comparingLong(EndpointConnection::idleSinceNs))
                .orElse(null);
    }

    private ByteBuffer encodeRequest(Attempt attempt) {
        long now = executor.now();
        long waitedNs = now - attempt.decidedAtNs;
        if (attempt.ended
                || attempt.request.completed
                || waitedNs > attempt.decision.startWithinNs()
                || !isCurrent(attempt)) {
            return null;
        }
        attempt.startedAtNs = now;
        return encodeRequest(
                attempt,
                table.get(attempt.decision.endpoint()),
                table.get(attempt.decision.fillSource()),
                attempt.decision.timeoutNs() - waitedNs);
    }

    private static ByteBuffer encodeRequest(
            Attempt attempt,
            EndpointTable.Entry endpoint,
            EndpointTable.Entry source,
            long limitNs) {
        ClientRequest clientRequest = attempt.request.clientRequest;
        StartAttempt decision = attempt.decision;
        StringBuilder fields =
                new StringBuilder(160)
                        .append("cls=")
                        .append(clientRequest.className())
                        .append(",item=")
                        .append(clientRequest.objectHex())
                        .append(",chunk=")
                        .append(clientRequest.part())
                        .append(",limit=")
                        .append(Math.max(1, limitNs / 1_000_000));
        if (clientRequest.idempotencyKey() != null) {
            fields.append(",nonce=").append(clientRequest.idempotencyKey());
        }
        if (source != endpoint) {
            fields.append(",up=").append(source.name);
        }
        if (decision.cachePriority() > 0) {
            fields.append(",store=").append(decision.cachePriority());
        }
        if (decision.maxAgeNs() > 0) {
            fields.append(",cap=").append(Math.max(1, decision.maxAgeNs() / 1_000_000));
        }
        if (decision.collapse() || decision.onlyIfCached()) {
            fields.append(",do=")
                    .append(
                            decision.collapse()
                                    ? decision.onlyIfCached() ? "share+peek" : "share"
                                    : "peek");
        }
        if (clientRequest.etag() != null) {
            fields.append(",inm=").append(clientRequest.etag());
        }
        return FrameEncoder.encode(
                Frame.REQUEST, clientRequest.id(), fields.toString(), clientRequest.body());
    }

    @Override
    public void abandon(Attempt attempt) {
        EndpointConnectionPool pool = pools.get(attempt.decision.endpoint());
        if (pool != null) {
            pool.dequeue(attempt);
        }
    }
}
