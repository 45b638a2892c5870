package brooklock.net;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.security.cert.X509Certificate;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Predicate;
import javax.net.ssl.SSLContext;
import org.xnio.ChannelListener;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Sequence;
import org.xnio.SslClientAuthMode;
import org.xnio.StreamConnection;
import org.xnio.channels.AcceptingChannel;
import org.xnio.ssl.JsseXnioSsl;
import org.xnio.ssl.SslConnection;

/** A listening socket and the connections that came in by it. */
public final class Listener implements Closeable {
    final ServerLimits limits;
    final Handler handler;
    private final Net net;
    private final AcceptingChannel<? extends StreamConnection> channel;
    private final AtomicInteger open = new AtomicInteger();
    private final LongAdder turnedAway = new LongAdder();
    private final Set<ServerConnection> connections = ConcurrentHashMap.newKeySet();
    private volatile boolean draining;

    private Listener(
            Net net, InetSocketAddress at, ServerLimits limits, Handler handler, SSLContext tls)
            throws IOException {
        this.net = net;
        this.limits = limits;
        this.handler = handler;
        OptionMap.Builder options =
                OptionMap.builder()
                        .set(Options.TCP_NODELAY, true)
                        .set(Options.REUSE_ADDRESSES, true)
                        .set(Options.BACKLOG, limits.backlog());
        if (tls == null) {
            ChannelListener<AcceptingChannel<StreamConnection>> accept = this::accept;
            channel = net.worker.createStreamConnectionServer(at, accept, options.getMap());
        } else {
            // Asked of every client, needed of none here: whether a request needs one is said by
            // its route.
            options.set(Options.SSL_CLIENT_AUTH_MODE, SslClientAuthMode.REQUESTED)
                    .set(Options.SSL_ENABLED_PROTOCOLS, Sequence.of("TLSv1.3", "TLSv1.2"));
            ChannelListener<AcceptingChannel<SslConnection>> accept = this::accept;
            channel =
                    new JsseXnioSsl(net.worker.getXnio(), OptionMap.EMPTY, tls)
                            .createSslConnectionServer(net.worker, at, accept, options.getMap());
        }
        channel.resumeAccepts();
    }

    /**
     * Listens.
     *
     * @param at where; port 0 lets the system choose
     * @throws IOException where the address is taken or not this machine's
     */
    public static Listener open(Net net, InetSocketAddress at, ServerLimits limits, Handler handler)
            throws IOException {
        return new Listener(net, at, limits, handler, null);
    }

    /**
     * Listens with TLS 1.3 and 1.2; a client's certificate is asked for and checked by the
     * context's trust.
     */
    public static Listener openTls(
            Net net, InetSocketAddress at, ServerLimits limits, Handler handler, SSLContext tls)
            throws IOException {
        return new Listener(net, at, limits, handler, tls);
    }

    /**
     * Breaks off every connection whose client certificate is not good any more, whatever it is at.
     *
     * @param revoked tells so of a chain
     */
    public void breakOff(Predicate<X509Certificate[]> revoked) {
        connections.forEach(c -> c.loop.execute(() -> c.breakOffIf(revoked)));
    }

    /** The address that is listened on. */
    public InetSocketAddress address() {
        return channel.getLocalAddress(InetSocketAddress.class);
    }

    /** Connections open now. */
    public int connections() {
        return open.get();
    }

    /** Connections that were over the bound since the start. */
    public long turnedAway() {
        return turnedAway.sum();
    }

    private void accept(AcceptingChannel<? extends StreamConnection> from) {
        try {
            for (StreamConnection c = from.accept(); c != null; c = from.accept()) {
                begin(c);
            }
        } catch (IOException e) {
            // The one connection is lost, or descriptors have run out; the next readiness tries
            // again.
        }
    }

    private void begin(StreamConnection c) {
        IoLoop loop = net.loop(c.getIoThread().getNumber());
        boolean room = open.incrementAndGet() <= limits.connections();
        if (!room) {
            turnedAway.increment();
        }
        ServerConnection connection = new ServerConnection(this, loop, c, !room);
        connections.add(connection);
        loop.run(connection::start);
    }

    void closed(ServerConnection c) {
        if (connections.remove(c)) {
            open.decrementAndGet();
        }
    }

    boolean draining() {
        return draining;
    }

    /** Stops listening; connections end after the request they are at, idle ones at once. */
    public void drain() {
        draining = true;
        IoUtils.safeClose(channel);
        connections.forEach(c -> c.loop.execute(c::drain));
    }

    /** Stops listening and closes every connection. */
    @Override
    public void close() {
        drain();
        connections.forEach(c -> c.loop.execute(c::kill));
    }
}
