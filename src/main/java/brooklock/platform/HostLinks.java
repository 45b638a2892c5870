package brooklock.platform;

import brooklock.RouterApi.Note;
import brooklock.RouterApi.Outcome;
import brooklock.net.Stream;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Connections to one host. Each carries one request while there is room for more connections, so that a broken one takes
 * little with it; only then do they share. Belongs to the I/O thread.
 */
final class HostLinks {
    private static final Logger LOG = LoggerFactory.getLogger(HostLinks.class);
    // Attempts that may wait for a connection; further ones find none.
    private static final int MOST_WAITING = 1024;

    private record Waiting(Try attempt, ByteBuffer frame) {
    }

    /** How connections are made. */
    interface Dialer {
        /** Begins one; calls either of the two later, unless what it gives is run before, which gives it up. */
        Runnable dial(InetSocketAddress address, Consumer<Stream> opened, Consumer<String> failed);
    }

    /** What an attempt comes to. */
    interface Taker {
        void ended(Try t, Outcome outcome, Note note, long waitedNs, Frame answer);
    }

    private final String name;
    private final Dialer dialer;
    private final InetSocketAddress address;
    private final int streams;
    private final IntSupplier most;
    private final Taker taker;
    private final List<HostLink> links = new ArrayList<>();
    private final ArrayDeque<HostLink> idle = new ArrayDeque<>();
    private final ArrayDeque<Waiting> line = new ArrayDeque<>();
    private final List<Runnable> dials = new ArrayList<>();
    private boolean left;

    /**
     * None yet.
     *
     * @param dialer makes connections
     * @param streams requests that one connection may carry
     * @param most connections that may be open
     */
    HostLinks(String name, Dialer dialer, InetSocketAddress address, int streams, IntSupplier most, Taker taker) {
        this.name = name;
        this.dialer = dialer;
        this.address = address;
        this.streams = streams;
        this.most = most;
        this.taker = taker;
    }

    /** Sends an attempt on a connection that is free, on a new one, or where there may be no more, on the least busy. */
    void send(Try t, ByteBuffer frame) {
        HostLink free = pick(t);
        if (free != null) {
            free.send(t, frame);
        } else if (left || line.size() >= MOST_WAITING) {
            taker.ended(t, Outcome.CONNECT_FAILED, Note.NONE, 0, null);
        } else {
            line.add(new Waiting(t, frame));
            dialMore();
        }
    }

    private HostLink pick(Try t) {
        long id = t.job.ask.id();
        for (HostLink l : idle) {
            if (l.usable(id, streams)) {
                idle.remove(l);
                return l;
            }
        }
        if (links.size() + dials.size() < most.getAsInt()) {
            return null;
        }
        HostLink best = null;
        for (HostLink l : links) {
            if (l.usable(id, streams) && (best == null || l.load() < best.load())) {
                best = l;
            }
        }
        return best;
    }

    private void dialMore() {
        while (dials.size() < line.size() && links.size() + dials.size() < Math.max(1, most.getAsInt())) {
            Runnable[] self = new Runnable[1];
            self[0] = dialer.dial(address, s -> opened(self[0], s), why -> failed(self[0], why));
            dials.add(self[0]);
        }
    }

    private void opened(Runnable d, Stream s) {
        dials.remove(d);
        HostLink l = new HostLink(this, s);
        links.add(l);
        idle(l);
    }

    private void failed(Runnable d, String why) {
        dials.remove(d);
        Waiting first = line.poll();
        log(why, line.size() + 1);
        if (first != null) {
            taker.ended(first.attempt(), Outcome.CONNECT_FAILED, Note.NONE, 0, null);
        }
        dialMore();
    }

    /** A connection has nothing to do. */
    void idle(HostLink l) {
        for (Waiting w = line.peek(); w != null; w = line.peek()) {
            if (!l.usable(w.attempt().job.ask.id(), streams)) {
                break;
            }
            line.poll();
            if (!w.attempt().over) {
                l.send(w.attempt(), w.frame());
                return;
            }
        }
        if (left) {
            l.close();
        } else {
            idle.addFirst(l);
        }
    }

    /** An attempt that waits in line is over. */
    void leaveLine(Try t) {
        line.removeIf(w -> w.attempt() == t);
    }

    void gone(HostLink l) {
        links.remove(l);
        idle.remove(l);
        dialMore();
    }

    void ended(Try t, Outcome outcome, Note note, long waitedNs, Frame answer) {
        taker.ended(t, outcome, note, waitedNs, answer);
    }

    /** Closes connections that have been idle since before a moment of {@link System#nanoTime}. */
    void closeIdle(long before) {
        for (HostLink l = idle.peekLast(); l != null && l.idleSince() - before < 0; l = idle.peekLast()) {
            l.close();
        }
    }

    /** The host has left the list: its address may soon be another's, so nothing new goes there. */
    void leave() {
        left = true;
        dials.forEach(Runnable::run);
        dials.clear();
        for (Waiting w = line.poll(); w != null; w = line.poll()) {
            taker.ended(w.attempt(), Outcome.CONNECT_FAILED, Note.NONE, 0, null);
        }
        for (HostLink l = idle.peek(); l != null; l = idle.peek()) {
            l.close();
        }
    }

    /** Whether these lead to an address. */
    boolean isAt(String where) {
        return address.equals(NodeConfig.address(where));
    }

    /** Connections, attempts on them, attempts that wait for one. */
    String summary() {
        return name + "=" + (links.size() + dials.size()) + "/" + links.stream().mapToInt(HostLink::load).sum() + "/"
                + line.size();
    }

    void log(String why, int attempts) {
        if (LOG.isDebugEnabled()) {
            LOG.debug("{} at {}: {}; {} attempts", name, address, why, attempts);
        }
    }
}
