package brooklock.testserver;

/** What reached a host, written down by the host itself. Times are {@link System#nanoTime}. */
public final class RecordedRequest {
    /** When it came. */
    public final long atNs;

    /** Where it came. */
    public final String server;

    /** The dispatcher it began at. */
    public final String dispatcher;

    /** Who sent it here: that dispatcher, or a cache that fills. */
    public final String sender;

    /** The client's name of its request. */
    public final String request;

    /** Number of the attempt. */
    public final int attempt;

    /** The path asked for. */
    public final String target;

    /** The object asked for. */
    public final long object;

    /** Its purge group. */
    public final int group;

    /** Its class. */
    public final String className;

    /** The host named to fill from, or null. */
    public final String source;

    /** How a neighbour that was asked first answered; null where none was. */
    volatile String peerResult;

    /** What that neighbour said of itself. */
    volatile String peerLoad;

    /** Whether it was given from what the host held. */
    public volatile boolean cacheHit;

    /** Bytes of the copy that was given. */
    public volatile int bodyBytes;

    /**
     * Share of 1 of what the host bore while cold that had reached it with this; 0 where it was
     * warm.
     */
    public volatile double warmUpLoad;

    /** Whether it came after the host's start when the host was still cold. */
    public volatile boolean cold;

    /** Serial of the copy that was given, 0 for none. */
    public volatile long copySerial;

    /** Whether the request surely did not run, by what the host answered. */
    public volatile boolean provenNotExecuted;

    /** Whether an effect took place here. */
    public volatile boolean executed;

    RecordedRequest(long atNs, String host, String target, ServerRequest a) {
        this.atNs = atNs;
        this.server = host;
        dispatcher = a.dispatcher();
        sender = a.sender();
        request = a.request();
        this.target = target;
        attempt = a.attempt();
        object = a.object();
        group = a.group();
        className = a.className();
        source = a.source();
    }

    /** Whether it came straight from a dispatcher. */
    public boolean isDirect() {
        return dispatcher.equals(sender);
    }

    /** Whether it was given from what a neighbour held. */
    public boolean isFromPeer() {
        return "gave".equals(peerResult);
    }

    @Override
    public String toString() {
        return "request "
                + request
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
