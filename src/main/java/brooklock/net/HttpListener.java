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
public final class HttpListener implements Closeable {
    final ServerLimits limits;
    final RequestHandler requestHandler;
    private final IoThreads net;
    private final AcceptingChannel<? extends StreamConnection> channel;
    private final AtomicInteger openCount = new AtomicInteger();
    private final LongAdder rejectedCount = new LongAdder();
    private final Set<HttpServerConnection> connections = ConcurrentHashMap.newKeySet();
    private volatile boolean draining;

    private HttpListener(
            IoThreads net,
            InetSocketAddress address,
            ServerLimits limits,
            RequestHandler requestHandler,
            SSLContext tlsContext)
            throws IOException {
        this.net = net;
        this.limits = limits;
        this.requestHandler = requestHandler;
        OptionMap.Builder options =
                OptionMap.builder()
                        .set(Options.TCP_NODELAY, true)
                        .set(Options.REUSE_ADDRESSES, true)
                        .set(Options.BACKLOG, limits.backlog());
        if (tlsContext == null) {
            ChannelListener<AcceptingChannel<StreamConnection>> accept = this::accept;
            channel = net.worker.createStreamConnectionServer(address, accept, options.getMap());
        } else {
            // Asked of every client, needed of none here: whether a request needs one is said by
            // its route.
            options.set(Options.SSL_CLIENT_AUTH_MODE, SslClientAuthMode.REQUESTED)
                    .set(Options.SSL_ENABLED_PROTOCOLS, Sequence.of("TLSv1.3", "TLSv1.2"));
            ChannelListener<AcceptingChannel<SslConnection>> accept = this::accept;
            channel =
                    new JsseXnioSsl(net.worker.getXnio(), OptionMap.EMPTY, tlsContext)
                            .createSslConnectionServer(
                                    net.worker, address, accept, options.getMap());
        }
        channel.resumeAccepts();
    }

    /**
     * Listens.
     *
     * @param at where; port 0 lets the system choose
     * @throws IOException where the address is taken or not this machine's
     */
    public static HttpListener open(
            IoThreads net,
            InetSocketAddress address,
            ServerLimits limits,
            RequestHandler requestHandler)
            throws IOException {
        return new HttpListener(net, address, limits, requestHandler, null);
    }

    /**
     * Listens with TLS 1.3 and 1.2; a client's certificate is asked for and checked by the
     * context's trust.
     */
    public static HttpListener openTls(
            IoThreads net,
            InetSocketAddress address,
            ServerLimits limits,
            RequestHandler requestHandler,
            SSLContext tlsContext)
            throws IOException {
        return new HttpListener(net, address, limits, requestHandler, tlsContext);
    }

    /**
     * Breaks off every connection whose client certificate is not good any more, whatever it is at.
     *
     * @param revoked tells so of a chain
     */
    public void closeRevoked(Predicate<X509Certificate[]> isRevoked) {
        connections.forEach(c -> c.loop.execute(() -> c.closeIfRevoked(isRevoked)));
    }

    /** The address that is listened on. */
    public InetSocketAddress address() {
        return channel.getLocalAddress(InetSocketAddress.class);
    }

    /** Connections open now. */
    public int openConnections() {
        return openCount.get();
    }

    /** Connections that were over the bound since the start. */
    public long rejectedConnections() {
        return rejectedCount.sum();
    }

    private void accept(AcceptingChannel<? extends StreamConnection> channelReady) {
        try {
            for (StreamConnection c = channelReady.accept(); c != null; c = channelReady.accept()) {
                register(c);
            }
        } catch (IOException e) {
            // The one connection is lost, or descriptors have run out; the next readiness tries
            // again.
        }
    }

    private void register(StreamConnection accepted) {
        IoLoop loop = net.loop(accepted.getIoThread().getNumber());
        boolean withinLimit = openCount.incrementAndGet() <= limits.maxConnections();
        if (!withinLimit) {
            rejectedCount.increment();
        }
        HttpServerConnection connection =
                new HttpServerConnection(this, loop, accepted, !withinLimit);
        connections.add(connection);
        loop.run(connection::start);
    }

    void onClosed(HttpServerConnection connection) {
        if (connections.remove(connection)) {
            openCount.decrementAndGet();
        }
    }

    boolean isDraining() {
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
        connections.forEach(c -> c.loop.execute(c::closeNow));
    }
}
