package brooklock.platform;

/** The connections that all endpoints may have together. Called on the I/O thread. */
interface ConnectionBudget {
    /** Returns whether an endpoint that has so many connections may open one more. */
    boolean permits(int connections);

    /** Makes room for one more connection, which is {@linkplain #permits permitted}. */
    void makeRoom();
}
