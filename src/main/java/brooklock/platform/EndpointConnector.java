package brooklock.platform;

import brooklock.net.IoLoop;
import brooklock.routing.AttemptOutcome;
import brooklock.routing.RouterEvent.EndpointListReceived;
import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Carries attempts to the endpoints of the list: caches, parents and the origin. Owned by the I/O
 * thread, which also owns the endpoint list.
 *
 * <p>An attempt that waits for a connection is sent as it was decided or not at all. When the list
 * entry of its endpoint or fill source changes, or its object is purged, it goes back to the router
 * as {@link AttemptOutcome#NOT_STARTED} and is decided anew.
 */
final class EndpointConnector implements AttemptTransport, AttemptHandler {
    private static final long SWEEP_INTERVAL_NS = 1_000_000_000L;

    private final IoLoop loop;
    private final DiscoveredEndpointTable table;
    private final EndpointConnectionPools pools;
    private RequestExecutor executor;
    private boolean closed;

    /**
     * Creates a connector without connections.
     *
     * @param table the endpoint list
     * @param settings what holds for the connections to every endpoint
     */
    EndpointConnector(DiscoveredEndpointTable table, ConnectionSettings settings) {
        loop = settings.loop();
        this.table = table;
        pools = new EndpointConnectionPools(settings, table, this);
    }

    /**
     * Begins to serve an executor.
     *
     * @param requestExecutor takes the results of attempts
     */
    void start(RequestExecutor requestExecutor) {
        executor = requestExecutor;
        sweep();
    }

    private void sweep() {
        if (closed) {
            return;
        }
        pools.closeIdle();
        table.removeGone();
        loop.schedule(SWEEP_INTERVAL_NS, this::sweep);
    }

    /** Takes a change of the endpoint list and hands it to the router. */
    void onListUpdate(DiscoveryEvent.EndpointListUpdate update) {
        EndpointListReceived list = table.apply(update);
        pools.retireOutdated();
        executor.submit(list);
        returnQueued(attempt -> !isCurrent(attempt));
    }

    /**
     * Takes a purge that the router has taken.
     *
     * @param objectId the object; 0 means all objects of the group
     * @param group the purge group
     */
    void onPurge(long objectId, int group) {
        returnQueued(
                attempt ->
                        objectId != 0
                                ? objectId == attempt.clientRequest().objectId()
                                : group == attempt.clientRequest().group());
    }

    private void returnQueued(Predicate<EndpointAttempt> affected) {
        for (EndpointConnectionPool pool : pools.all()) {
            for (EndpointAttempt attempt : pool.queuedAttempts()) {
                if (affected.test(attempt)) {
                    pool.dequeue(attempt);
                    onCompleted(attempt, AttemptResult.withoutResponse(AttemptOutcome.NOT_STARTED));
                }
            }
        }
    }

    private boolean isCurrent(EndpointAttempt attempt) {
        DiscoveredEndpointTable.Entry endpoint = table.get(attempt.decision().endpoint());
        DiscoveredEndpointTable.Entry source = table.get(attempt.decision().fillSource());
        return endpoint != null
                && source != null
                && attempt.wasDecidedOn(endpoint.listing(), source.listing());
    }

    /** Closes idle connections at once and the others as they become idle. */
    void close() {
        closed = true;
        pools.retireAll();
    }

    /** Returns each endpoint's connections and attempts, for the log. */
    String summary() {
        return pools.summary();
    }

    @Override
    public void send(EndpointAttempt attempt) {
        DiscoveredEndpointTable.Entry endpoint = table.get(attempt.decision().endpoint());
        DiscoveredEndpointTable.Entry source = table.get(attempt.decision().fillSource());
        if (endpoint == null || source == null || endpoint.isGone()) {
            // It left after the router chose it; the router's event of that is still queued.
            onCompleted(attempt, AttemptResult.withoutResponse(AttemptOutcome.CONNECT_FAILED));
            return;
        }
        attempt.rememberListing(endpoint.listing(), source.listing());
        pools.getOrCreate(endpoint).send(attempt);
    }

    @Override
    public void dropQueued(EndpointAttempt attempt) {
        EndpointConnectionPool pool = pools.get(attempt.decision().endpoint());
        if (pool != null) {
            pool.dequeue(attempt);
        }
    }

    @Override
    public Optional<ByteBuffer> startFrame(EndpointAttempt attempt) {
        long nowNs = executor.nowNs();
        long waitedNs = nowNs - attempt.decidedAtNs();
        if (attempt.hasEnded()
                || attempt.request().isCompleted()
                || waitedNs > attempt.decision().startWithinNs()
                || !isCurrent(attempt)) {
            return Optional.empty();
        }
        attempt.setStartedAtNs(nowNs);
        return Optional.of(
                RequestFrameEncoder.encode(
                        attempt.clientRequest(),
                        attempt.decision(),
                        table.get(attempt.decision().fillSource()).name(),
                        attempt.decision().timeoutNs() - waitedNs));
    }

    @Override
    public void onCompleted(EndpointAttempt attempt, AttemptResult result) {
        executor.completeAttempt(attempt, result);
    }
}
