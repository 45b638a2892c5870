package brooklock.testserver;

/** What ails a host just now; set from outside at any time. Shares are of 1. */
public final class InjectedFaults {
    /** Takes requests and says nothing. */
    public volatile boolean silent;

    /** Share of requests that are answered at once with an error. */
    public volatile double errorShare;

    /** Share of answers that are lost after the work was done. */
    public volatile double lostShare;

    /** A lost answer shows as a reset; else as silence. */
    public volatile boolean lostByReset;

    /** Share of answers broken off in the middle of their body. */
    public volatile double truncatedShare;

    /** How many times slower it is. */
    public volatile double slowdown = 1;

    /** Share of requests that are refused. */
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
