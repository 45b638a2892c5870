package brooklock.testserver;

/**
 * The faults of one server; set from any thread at any time. Shares are fractions of 1, each
 * request drawn for itself.
 */
public final class InjectedFaults {
    /** Whether the server accepts requests and never responds. */
    public volatile boolean silent;

    /** Share of requests that fail at once with 500. */
    public volatile double errorShare;

    /** Share of responses that are lost after the work was done. */
    public volatile double lostShare;

    /** Whether a lost response shows as a connection reset; else as silence. */
    public volatile boolean lostByReset;

    /** Share of responses that are broken off in the middle of their body. */
    public volatile double truncatedShare;

    /** How many times slower the server is. */
    public volatile double slowdown = 1;

    /** Share of requests that are rejected. */
    public volatile double rejectShare;

    void clear() {
        silent = false;
        errorShare = 0;
        lostShare = 0;
        truncatedShare = 0;
        slowdown = 1;
        rejectShare = 0;
    }
}
