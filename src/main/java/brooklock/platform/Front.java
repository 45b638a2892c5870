package brooklock.platform;

import brooklock.net.IoLoop;
import brooklock.net.Net;
import brooklock.net.Stream;
import brooklock.net.StreamListener;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The listening side: clients' connections within their bound. Belongs to the I/O thread. */
final class Front {
    private static final Logger LOG = LoggerFactory.getLogger(Front.class);
    // Connections the system holds until they are accepted.
    private static final int BACKLOG = 512;
    // Time without a call after which a connection is closed, ns; clients close theirs after 4 s.
    private static final long IDLE_NS = 8_000_000_000L;
    private static final long SWEEP_NS = 500_000_000L;
    // Time for a whole message, ns: above every deadline, and a client that sends byte by byte
    // holds no place for ever.
    private static final long MESSAGE_NS = 6_000_000_000L;
    // Part of the heap that answers may take together until their clients take them; then the one
    // with most is closed.
    private static final int HEAP_PART = 4;
    // Time between looks at whether all has been answered, at the end, ns.
    static final long LOOK_NS = 10_000_000L;
    // Connections that may be ending in order above the bound: their descriptors are counted in
    // Node's.
    static final int MOST_FINISHING = 16;

    private final IoLoop loop;
    private final Map<String, ClientRequest.Form> classes;
    private final int most;
    private final Engine engine;
    private final Set<ClientLink> links = new LinkedHashSet<>();
    private StreamListener listener;
    private long messageNs = MESSAGE_NS;
    private long mostPending = Runtime.getRuntime().maxMemory() / HEAP_PART;
    private int finishing;
    private boolean well = true;
    private boolean closing;

    /**
     * Not listening yet.
     *
     * @param most connections that may be open; above it an idle one has to go, or else the new one
     */
    Front(IoLoop loop, Map<String, ClientRequest.Form> classes, int most, Engine engine) {
        this.loop = loop;
        this.classes = classes;
        this.most = most;
        this.engine = engine;
    }

    StreamListener open(Net net, InetSocketAddress at) throws IOException {
        loop.execute(this::sweep);
        listener = StreamListener.open(net, at, BACKLOG, this::accept);
        return listener;
    }

    /** Takes a connection. */
    void accept(Stream s) {
        if (links.size() - finishing >= most && !makeRoom()) {
            s.close();
            return;
        }
        ClientLink l = new ClientLink(this, s);
        links.add(l);
        l.start();
    }

    // The one that has said nothing for longest goes, before one that has been idle for longest.
    private boolean makeRoom() {
        ClientLink idlest = null;
        for (ClientLink l : links) {
            if (!l.idle()) {
                continue;
            }
            if (!l.spoke()) {
                l.close();
                return true;
            }
            idlest = idlest == null || l.idleSince() - idlest.idleSince() < 0 ? l : idlest;
        }
        return idlest != null && finishing < MOST_FINISHING && idlest.retire();
    }

    private void sweep() {
        long before = System.nanoTime() - IDLE_NS;
        List.copyOf(links).stream()
                .filter(l -> l.idle() && l.idleSince() - before < 0)
                .forEach(ClientLink::retire);
        loop.after(SWEEP_NS, this::sweep);
    }

    /** A connection is ending in order, and holds its descriptor a while yet. */
    void finishes() {
        finishing++;
    }

    void finished(ClientLink l) {
        finishing--;
        gone(l);
    }

    void gone(ClientLink l) {
        links.remove(l);
    }

    Engine engine() {
        return engine;
    }

    /** An answer waits for its client to take it. */
    void stalls() {
        if (links.stream().mapToLong(ClientLink::pending).sum() > mostPending) {
            links.stream()
                    .max(Comparator.comparingLong(ClientLink::pending))
                    .ifPresent(ClientLink::close);
        }
    }

    /** Sets how many bytes may wait for all clients together. */
    void mostPending(long bytes) {
        mostPending = bytes;
    }

    /** Time for a whole message, ns. */
    long messageNs() {
        return messageNs;
    }

    /** Sets the time for a whole message, ns. */
    void messageNs(long ns) {
        messageNs = ns;
    }

    Map<String, ClientRequest.Form> classes() {
        return classes;
    }

    /** What {@code isWell} is answered. */
    boolean well() {
        return well;
    }

    /** Whether new requests are refused. */
    boolean closing() {
        return closing;
    }

    /** No new clients are wanted; those that come are served. */
    void leave() {
        well = false;
    }

    /**
     * Refuses new requests from now on, listens no more and ends each connection in order once all
     * of it is answered.
     *
     * @param ended called when the last has ended
     */
    void end(Runnable ended) {
        closing = true;
        // Connections that the system has taken are on their way to this thread yet.
        loop.after(
                LOOK_NS,
                () -> {
                    listener.finish();
                    endIdle(ended);
                });
    }

    private void endIdle(Runnable ended) {
        List.copyOf(links).forEach(ClientLink::retire);
        if (links.isEmpty()) {
            ended.run();
        } else {
            loop.after(LOOK_NS, () -> endIdle(ended));
        }
    }

    int connections() {
        return links.size();
    }

    void log(String why) {
        LOG.debug("client: {}", why);
    }
}
