package brooklock.testserver;

/**
 * A server's record of a request that has reached it. Times are from {@link System#nanoTime}.
 * Written on the server's I/O thread; any thread may read it.
 */
public final class RecordedRequest {
    /** Time of arrival. */
    public final long arrivedNs;

    /** Name of the server. */
    public final String server;

    /** The first dispatcher that forwarded the request. */
    public final String dispatcher;

    /** The sender of the request: that dispatcher, or a cache that fills. */
    public final String sender;

    /** The client's identifier of its request; null if it sent none. */
    public final String requestId;

    /** Number of the attempt. */
    public final int attempt;

    /** The requested path. */
    public final String target;

    /** The requested object. */
    public final long object;

    /** The object's purge group. */
    public final int group;

    /** Name of the request class. */
    public final String className;

    /** Name of the server to fill from; null if the server must not fill. */
    public final String source;

    /**
     * Result of the request to a peer that precedes the request to the source; null if no peer was
     * requested.
     */
    volatile PeerResult peerResult;

    /** The load report that the peer sent; null if there is none. */
    volatile String peerLoad;

    /** Whether the response came from a cached copy. */
    public volatile boolean cacheHit;

    /** Size of the response body in bytes, before a fault truncates or loses it. */
    public volatile int bodyBytes;

    /**
     * Load of the server, this request included, as a share of its overload limit during warm-up; 0
     * if the server was warm.
     */
    public volatile double warmUpLoad;

    /** Whether the server was warming up when the request arrived. */
    public volatile boolean cold;

    /** Serial number of the copy in the response; 0 for none. */
    public volatile long copySerial;

    /** Whether the response proves that the request was not executed. */
    public volatile boolean provenNotExecuted;

    /**
     * Whether the origin executed the request; false if it had already executed a request with the
     * same idempotency key.
     */
    public volatile boolean executed;

    RecordedRequest(long atNs, String server, String target, ServerRequest request) {
        this.arrivedNs = atNs;
        this.server = server;
        dispatcher = request.dispatcher();
        sender = request.sender();
        this.requestId = request.requestId();
        this.target = target;
        attempt = request.attempt();
        object = request.object();
        group = request.group();
        className = request.className();
        source = request.source();
    }

    /** Returns whether the request was sent by a dispatcher rather than by a cache that fills. */
    public boolean isFromDispatcher() {
        return dispatcher.equals(sender);
    }

    /** Returns whether the response was filled from a peer's copy. */
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
