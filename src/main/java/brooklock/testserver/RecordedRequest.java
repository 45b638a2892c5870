package brooklock.testserver;

/**
 * One request as the server that it reached has recorded it. Times are {@link System#nanoTime}. The
 * server's thread writes it; any thread may read it.
 */
public final class RecordedRequest {
    /** When it arrived. */
    public final long arrivedNs;

    /** The server that it reached. */
    public final String server;

    /** The dispatcher that it came through first. */
    public final String dispatcher;

    /** Who sent it here: that dispatcher, or a cache that fills. */
    public final String sender;

    /** The client's name of its request; null where it has none. */
    public final String requestId;

    /** Number of the attempt. */
    public final int attempt;

    /** The requested path. */
    public final String target;

    /** The requested object. */
    public final long object;

    /** The object's purge group. */
    public final int group;

    /** Name of the request's class. */
    public final String className;

    /** The server named to fill from, or null. */
    public final String source;

    /** How the peer responded that was tried first; null where none was. */
    volatile PeerResult peerResult;

    /** The load report of that peer. */
    volatile String peerLoad;

    /** Whether the response came from a cached copy. */
    public volatile boolean cacheHit;

    /** Bytes of the copy that was sent. */
    public volatile int bodyBytes;

    /**
     * Load that had reached the server with this request while it warmed up, as a share of what it
     * could bear; 0 where it was warm.
     */
    public volatile double warmUpLoad;

    /** Whether the server was still warming up. */
    public volatile boolean cold;

    /** Serial number of the copy that was sent; 0 for none. */
    public volatile long copySerial;

    /** Whether the response proves that the request was not executed. */
    public volatile boolean provenNotExecuted;

    /** Whether it took effect here. */
    public volatile boolean executed;

    RecordedRequest(long atNs, String server, String target, ServerRequest request) {
        this.arrivedNs = atNs;
        this.server = server;
        dispatcher = request.dispatcher();
        sender = request.sender();
        this.requestId = request.request();
        this.target = target;
        attempt = request.attempt();
        object = request.object();
        group = request.group();
        className = request.className();
        source = request.source();
    }

    /** Whether a dispatcher sent it, and not a cache that fills. */
    public boolean isFromDispatcher() {
        return dispatcher.equals(sender);
    }

    /** Whether the response came from a peer's copy. */
    public boolean isFromPeer() {
        return peerResult == PeerResult.GAVE;
    }

    @Override
    public String toString() {
        return "request "
                + requestId
                + " try "
                + attempt
                + " by "
                + sender
                + " of "
                + dispatcher
                + " at "
                + server;
    }
}
