package brooklock.testserver;

/**
 * The faults of one server, which any thread may set at any time. Shares are probabilities between
 * 0 and 1, drawn independently for each request.
 */
public final class InjectedFaults {
    /** Whether the server accepts requests and never responds. */
    public volatile boolean silent;

    /** Share of requests that fail immediately with status 500. */
    public volatile double errorShare;

    /** Share of responses that are lost after the request was executed. */
    public volatile double lostShare;

    /** Whether a lost response resets the connection; otherwise nothing is sent on it. */
    public volatile boolean lostByReset;

    /** Share of responses that are truncated in the middle of their body. */
    public volatile double truncatedShare;

    /** Factor by which the server is slowed down; 1 for no slowdown. */
    public volatile double slowdown = 1;

    /** Share of requests that are rejected as if the server were at its limit. */
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
