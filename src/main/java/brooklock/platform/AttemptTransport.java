package brooklock.platform;

/** Sends attempts to endpoints. Called on the I/O thread. */
interface AttemptTransport {
    /**
     * Sends an attempt as soon as a connection can carry it. Its end is reported by {@link
     * RequestExecutor#completeAttempt}, possibly before this returns.
     */
    void send(EndpointAttempt attempt);

    /** Drops an attempt that ended while it waited for a connection. */
    void dropQueued(EndpointAttempt attempt);
}
