package brooklock.platform;

import brooklock.net.IoLoop;
import brooklock.routing.AttemptOutcome;
import brooklock.routing.RouterEvent.EndpointListReceived;
import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Sends attempts to the endpoints of the list: caches, parents and the origin. Not thread-safe;
 * owned by the I/O thread, which also owns the endpoint list. {@link #start} must be called before
 * any other method.
 *
 * <p>A queued attempt is sent only if the state on which the router based its decision is still
 * valid. When the list entry of its endpoint or fill source changes, or when its object is purged,
 * the attempt ends as {@link AttemptOutcome#NOT_STARTED} and the router decides again.
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
     * @param settings the settings of the connections to endpoints
     * @param memory bounds the memory of partially received responses
     */
    EndpointConnector(
            DiscoveredEndpointTable table, ConnectionSettings settings, MemoryBudget memory) {
        loop = settings.loop();
        this.table = table;
        pools = new EndpointConnectionPools(settings, table, memory, this);
    }

    /**
     * Sets the executor and starts the periodic removal of idle connections and of endpoints that
     * have left the list.
     *
     * @param requestExecutor receives the results of attempts
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

    /**
     * Applies an update of the endpoint list, submits it to the router, and then ends or returns to
     * the router the attempts that the update concerns. The router must have the update first:
     * otherwise it would decide again by the old list.
     */
    void onListUpdate(DiscoveryEvent.EndpointListUpdate update) {
        EndpointListReceived list = table.apply(update);
        executor.submit(list);
        pools.retireOutdated();
        returnQueuedToRouter(attempt -> !isCurrent(attempt));
    }

    /**
     * Returns the queued attempts of purged objects to the router. Must be called after the purge
     * has been submitted to the router; otherwise the router would decide again without regard to
     * the purge.
     *
     * @param objectId the id of the purged object; 0 for all objects of the group
     * @param group the purge group
     */
    void onPurge(long objectId, int group) {
        returnQueuedToRouter(
                attempt ->
                        objectId != 0
                                ? objectId == attempt.clientRequest().objectId()
                                : group == attempt.clientRequest().group());
    }

    private void returnQueuedToRouter(Predicate<EndpointAttempt> affected) {
        for (EndpointConnectionPool pool : pools.all()) {
            for (EndpointAttempt attempt : pool.queuedAttempts()) {
                if (affected.test(attempt)) {
                    pool.removeQueued(attempt);
                    onCompleted(attempt, AttemptResult.withoutResponse(AttemptOutcome.NOT_STARTED));
                }
            }
        }
    }

    private boolean isCurrent(EndpointAttempt attempt) {
        DiscoveredEndpointTable.Entry endpoint = table.get(attempt.decision().endpoint());
        DiscoveredEndpointTable.Entry fillSource = table.get(attempt.decision().fillSource());
        return endpoint != null
                && fillSource != null
                && attempt.matchesDecisionListings(endpoint.listing(), fillSource.listing());
    }

    /** Closes idle connections immediately and busy connections as they become idle. */
    void close() {
        closed = true;
        pools.retireAll();
    }

    /** Returns the connections and attempts of each endpoint, for the log. */
    String summary() {
        return pools.summary();
    }

    @Override
    public void send(EndpointAttempt attempt) {
        DiscoveredEndpointTable.Entry endpoint = table.get(attempt.decision().endpoint());
        DiscoveredEndpointTable.Entry fillSource = table.get(attempt.decision().fillSource());
        if (endpoint == null || fillSource == null || endpoint.isGone()) {
            // The endpoint or the fill source has left the list, but the router has not processed
            // that update yet.
            onCompleted(attempt, AttemptResult.withoutResponse(AttemptOutcome.CONNECT_FAILED));
            return;
        }
        attempt.setDecisionListings(endpoint.listing(), fillSource.listing());
        pools.getOrCreate(endpoint).send(attempt);
    }

    @Override
    public void dropQueued(EndpointAttempt attempt) {
        EndpointConnectionPool pool = pools.get(attempt.decision().endpoint());
        if (pool != null) {
            pool.removeQueued(attempt);
        }
    }

    @Override
    public Optional<ByteBuffer> startAndEncode(EndpointAttempt attempt) {
        long nowNs = executor.nowNs();
        long waitedNs = nowNs - attempt.decidedAtNs();
        if (attempt.hasEnded()
                || attempt.request().isCompleted()
                || waitedNs > attempt.decision().startWithinNs()
                || !isCurrent(attempt)) {
            return Optional.empty();
        }
        executor.onAttemptStarted(attempt);
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
