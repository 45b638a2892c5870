package brooklock.platform;

/** Sends attempts to endpoints. Called on the I/O thread. */
interface AttemptTransport {
    /**
     * Sends an attempt as soon as a connection is available. The result is reported to {@link
     * RequestExecutor#completeAttempt}, possibly before this method returns.
     */
    void send(EndpointAttempt attempt);

    /** Removes an attempt that ended while it waited for a connection. */
    void dropQueued(EndpointAttempt attempt);
}
