package brooklock.platform;

/**
 * Bounds the number of connections to each endpoint and to all endpoints. All methods are called on
 * the I/O thread; each new connection is preceded by {@link #permitsConnection} and then {@link
 * #evictIdleIfFull}.
 */
interface ConnectionBudget {
    /**
     * Returns whether one more connection to an endpoint may be opened.
     *
     * @param currentConnections the number of connections that the endpoint has now
     */
    boolean permitsConnection(int currentConnections);

    /**
     * Closes the connection that has been idle for longest if the maximum number of connections to
     * all endpoints is open, so that a new connection can be opened. Must be called only after
     * {@link #permitsConnection} has returned true.
     */
    void evictIdleIfFull();
}
