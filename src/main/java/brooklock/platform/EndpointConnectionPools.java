package brooklock.platform;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The connection pools of all endpoints, which share a fixed number of file descriptors. Not
 * thread-safe; owned by the I/O thread.
 *
 * <p>Each endpoint may use an equal share of the descriptors, within bounds. When all descriptors
 * are in use, a new connection replaces the connection that has been idle for longest among all
 * pools.
 */
final class EndpointConnectionPools implements ConnectionBudget {
    // Bounds of an endpoint's share; they apply if the list has very few or very many endpoints.
    private static final int MAX_CONNECTIONS_PER_ENDPOINT = 48;
    private static final int MIN_CONNECTIONS_PER_ENDPOINT = 2;

    private final ConnectionSettings settings;
    private final DiscoveredEndpointTable table;
    private final AttemptHandler attemptHandler;
    private final PartialMessageMemory partialResponses;
    private final Map<Long, EndpointConnectionPool> poolsById = new HashMap<>();

    EndpointConnectionPools(
            ConnectionSettings settings,
            DiscoveredEndpointTable table,
            MemoryBudget memory,
            AttemptHandler attemptHandler) {
        this.settings = settings;
        partialResponses = new PartialMessageMemory(memory.partialResponses());
        this.table = table;
        this.attemptHandler = attemptHandler;
    }

    /** Returns the pool of an endpoint and creates it if there is none. */
    EndpointConnectionPool getOrCreate(DiscoveredEndpointTable.Entry endpoint) {
        EndpointConnectionPool pool = poolsById.get(endpoint.id());
        if (pool == null) {
            pool =
                    new EndpointConnectionPool(
                            endpoint.name(),
                            endpoint.address(),
                            endpoint.startedAtMs(),
                            settings,
                            this,
                            partialResponses,
                            attemptHandler);
            poolsById.put(endpoint.id(), pool);
        }
        return pool;
    }

    /** Returns the pool of an endpoint, or null if there is none. */
    EndpointConnectionPool get(long endpointId) {
        return poolsById.get(endpointId);
    }

    /** Returns a copy of the list of all pools. */
    List<EndpointConnectionPool> all() {
        return List.copyOf(poolsById.values());
    }

    /**
     * Retires the pools of endpoints that have left the list or whose address has changed, and
     * closes the connections to processes that have been replaced by a later one.
     */
    void retireOutdated() {
        for (DiscoveredEndpointTable.Entry entry : table.all()) {
            EndpointConnectionPool pool = poolsById.get(entry.id());
            if (pool != null && (entry.isGone() || !pool.hasAddress(entry.address()))) {
                poolsById.remove(entry.id());
                pool.retire();
            } else if (pool != null) {
                pool.onProcessStarted(entry.startedAtMs());
            }
        }
    }

    /** Retires all pools. */
    void retireAll() {
        all().forEach(EndpointConnectionPool::retire);
    }

    /** Closes the connections that have been idle for longer than the idle timeout. */
    void closeIdle() {
        long idleBeforeNs = System.nanoTime() - settings.idleTimeoutNs();
        for (EndpointConnectionPool pool : poolsById.values()) {
            pool.closeIdleBefore(idleBeforeNs);
        }
    }

    @Override
    public boolean permitsConnection(int currentConnections) {
        int fairShare = settings.maxConnections() / Math.max(1, table.listedCount());
        int max =
                Math.max(
                        MIN_CONNECTIONS_PER_ENDPOINT,
                        Math.min(MAX_CONNECTIONS_PER_ENDPOINT, fairShare));
        return currentConnections < max
                && (connectionCount() < settings.maxConnections()
                        || longestIdleConnection() != null);
    }

    @Override
    public void evictIdleIfFull() {
        if (connectionCount() >= settings.maxConnections()) {
            longestIdleConnection().close();
        }
    }

    private int connectionCount() {
        int count = 0;
        for (EndpointConnectionPool pool : poolsById.values()) {
            count += pool.connectionCount();
        }
        return count;
    }

    private EndpointConnection longestIdleConnection() {
        EndpointConnection longest = null;
        for (EndpointConnectionPool pool : poolsById.values()) {
            EndpointConnection candidate = pool.longestIdleConnection();
            if (candidate != null
                    && (longest == null || candidate.idleSinceNs() < longest.idleSinceNs())) {
                longest = candidate;
            }
        }
        return longest;
    }

    /** Returns the summaries of all pools, each followed by a blank, for the log. */
    String summary() {
        StringBuilder summaries = new StringBuilder();
        for (EndpointConnectionPool pool : poolsById.values()) {
            summaries.append(pool.summary()).append(' ');
        }
        return summaries.toString();
    }
}
