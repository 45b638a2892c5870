package brooklock.platform;

import brooklock.net.IoLoop;
import brooklock.net.Net;
import brooklock.net.Stream;
import brooklock.net.StreamListener;
import java.io.IOException;
import java.net.InetSocketAddress;
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

    private final IoLoop loop;
    private final Map<String, ClientRequest.Form> classes;
    private final int most;
    private final Engine engine;
    private final Set<ClientLink> links = new LinkedHashSet<>();
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
        return StreamListener.open(net, at, BACKLOG, this::accept);
    }

    /** Takes a connection. */
    void accept(Stream s) {
        if (links.size() >= most && !makeRoom()) {
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
            if (!l.spoke()) {
                l.close();
                return true;
            }
            idlest = l.idle() && (idlest == null || l.idleSince() - idlest.idleSince() < 0) ? l : idlest;
        }
        if (idlest != null) {
            idlest.close();
        }
        return idlest != null;
    }

    private void sweep() {
        long before = System.nanoTime() - IDLE_NS;
        List.copyOf(links).stream().filter(l -> l.idle() && l.idleSince() - before < 0).forEach(ClientLink::close);
        loop.after(SWEEP_NS, this::sweep);
    }

    void gone(ClientLink l) {
        links.remove(l);
    }

    Engine engine() {
        return engine;
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

    /** New requests are refused from now on. */
    void refuse() {
        closing = true;
    }

    /** Whether every answer has been taken by the system. */
    boolean written() {
        return links.stream().allMatch(ClientLink::written);
    }

    int connections() {
        return links.size();
    }

    void log(String why) {
        LOG.debug("client: {}", why);
    }
}
