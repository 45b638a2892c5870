package brooklock.platform;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The connection pools of all endpoints and the descriptors that they share. Owned by the I/O
 * thread.
 *
 * <p>Each endpoint may have its part of the descriptors, within bounds. When all are in use, a new
 * connection takes the place of the one that has been idle for longest, wherever it leads.
 */
final class EndpointConnectionPools implements ConnectionBudget {
    // Bounds on the connections to one endpoint, however many endpoints share the descriptors.
    private static final int MAX_CONNECTIONS_PER_ENDPOINT = 48;
    private static final int MIN_CONNECTIONS_PER_ENDPOINT = 2;

    private final ConnectionSettings settings;
    private final DiscoveredEndpointTable table;
    private final AttemptHandler attemptHandler;
    private final Map<Long, EndpointConnectionPool> poolsById = new HashMap<>();

    EndpointConnectionPools(
            ConnectionSettings settings,
            DiscoveredEndpointTable table,
            AttemptHandler attemptHandler) {
        this.settings = settings;
        this.table = table;
        this.attemptHandler = attemptHandler;
    }

    /** Returns the pool of an endpoint; makes it if there is none. */
    EndpointConnectionPool getOrCreate(DiscoveredEndpointTable.Entry endpoint) {
        EndpointConnectionPool pool = poolsById.get(endpoint.id());
        if (pool == null) {
            pool =
                    new EndpointConnectionPool(
                            endpoint.name(), endpoint.address(), settings, this, attemptHandler);
            poolsById.put(endpoint.id(), pool);
        }
        return pool;
    }

    /** Returns the pool of an endpoint, or null if there is none. */
    EndpointConnectionPool get(long endpointId) {
        return poolsById.get(endpointId);
    }

    /** Returns all pools; a copy. */
    List<EndpointConnectionPool> all() {
        return List.copyOf(poolsById.values());
    }

    /** Retires the pools of endpoints that have left the list or have another address in it. */
    void retireOutdated() {
        for (DiscoveredEndpointTable.Entry entry : table.all()) {
            EndpointConnectionPool pool = poolsById.get(entry.id());
            if (pool != null && (entry.isGone() || !pool.hasAddress(entry.address()))) {
                poolsById.remove(entry.id());
                pool.retire();
            }
        }
    }

    /** Retires all pools. */
    void retireAll() {
        all().forEach(EndpointConnectionPool::retire);
    }

    /** Closes connections that have been idle for too long. */
    void closeIdle() {
        long idleBeforeNs = System.nanoTime() - settings.idleTimeoutNs();
        for (EndpointConnectionPool pool : poolsById.values()) {
            pool.closeIdleSince(idleBeforeNs);
        }
    }

    @Override
    public boolean permits(int connections) {
        int fairPart = settings.maxConnections() / Math.max(1, table.presentCount());
        int max =
                Math.max(
                        MIN_CONNECTIONS_PER_ENDPOINT,
                        Math.min(MAX_CONNECTIONS_PER_ENDPOINT, fairPart));
        return connections < max
                && (connectionCount() < settings.maxConnections() || longestIdle() != null);
    }

    @Override
    public void makeRoom() {
        if (connectionCount() >= settings.maxConnections()) {
            longestIdle().close();
        }
    }

    private int connectionCount() {
        int count = 0;
        for (EndpointConnectionPool pool : poolsById.values()) {
            count += pool.connectionCount();
        }
        return count;
    }

    private EndpointConnection longestIdle() {
        EndpointConnection longest = null;
        for (EndpointConnectionPool pool : poolsById.values()) {
            EndpointConnection candidate = pool.longestIdle();
            if (candidate != null
                    && (longest == null || candidate.idleSinceNs() < longest.idleSinceNs())) {
                longest = candidate;
            }
        }
        return longest;
    }

    /** Returns the summaries of all pools, for the log. */
    String summary() {
        StringBuilder out = new StringBuilder();
        for (EndpointConnectionPool pool : poolsById.values()) {
            out.append(pool.summary()).append(' ');
        }
        return out.toString();
    }
}
