package brooklock.platform;

/**
 * Bounds the number of connections to each endpoint and to all endpoints. All methods are called on
 * the I/O thread; each new connection is preceded by {@link #permits} and then {@link #makeRoom}.
 */
interface ConnectionBudget {
    /**
     * Returns whether one more connection to an endpoint may be opened.
     *
     * @param connections the number of connections that the endpoint has now
     */
    boolean permits(int connections);

    /**
     * Closes the connection that has been idle for longest if all connections are in use, so that
     * one more can be opened. Must be called only if that is {@linkplain #permits permitted}.
     */
    void makeRoom();
}
