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

/**
 * A listening HTTP/1.1 socket and its open connections. Its public methods may be called from any
 * thread.
 */
public final class HttpListener implements Closeable {
    final ServerLimits limits;
    final RequestHandler requestHandler;
    private final IoThreads ioThreads;
    private final AcceptingChannel<? extends StreamConnection> channel;
    private final AtomicInteger openCount = new AtomicInteger();
    private final LongAdder rejectedCount = new LongAdder();
    private final Set<HttpServerConnection> connections = ConcurrentHashMap.newKeySet();
    private volatile boolean draining;

    private HttpListener(
            IoThreads ioThreads,
            InetSocketAddress address,
            ServerLimits limits,
            RequestHandler requestHandler,
            SSLContext tlsContext)
            throws IOException {
        this.ioThreads = ioThreads;
        this.limits = limits;
        this.requestHandler = requestHandler;
        OptionMap.Builder options =
                OptionMap.builder()
                        .set(Options.TCP_NODELAY, true)
                        .set(Options.REUSE_ADDRESSES, true)
                        .set(Options.BACKLOG, limits.backlog());
        channel =
                tlsContext == null
                        ? openPlain(address, options)
                        : openEncrypted(address, options, tlsContext);
        channel.resumeAccepts();
    }

    private AcceptingChannel<StreamConnection> openPlain(
            InetSocketAddress address, OptionMap.Builder options) throws IOException {
        ChannelListener<AcceptingChannel<StreamConnection>> whenReady = this::accept;
        return ioThreads.worker.createStreamConnectionServer(address, whenReady, options.getMap());
    }

    private AcceptingChannel<SslConnection> openEncrypted(
            InetSocketAddress address, OptionMap.Builder options, SSLContext tlsContext)
            throws IOException {
        // Requested from every client, required of none: the route says whether a request needs
        // one.
        options.set(Options.SSL_CLIENT_AUTH_MODE, SslClientAuthMode.REQUESTED)
                .set(Options.SSL_ENABLED_PROTOCOLS, Sequence.of("TLSv1.3", "TLSv1.2"));
        ChannelListener<AcceptingChannel<SslConnection>> whenReady = this::accept;
        return new JsseXnioSsl(ioThreads.worker.getXnio(), OptionMap.EMPTY, tlsContext)
                .createSslConnectionServer(ioThreads.worker, address, whenReady, options.getMap());
    }

    /**
     * Starts listening.
     *
     * @param address where to listen; port 0 lets the system choose
     * @throws IOException where the address is in use or not one of this machine
     */
    public static HttpListener open(
            IoThreads ioThreads,
            InetSocketAddress address,
            ServerLimits limits,
            RequestHandler requestHandler)
            throws IOException {
        return new HttpListener(ioThreads, address, limits, requestHandler, null);
    }

    /**
     * Starts listening with TLS 1.3 and 1.2. A client certificate is requested, and checked by the
     * context's trust manager where one is sent.
     *
     * @param address where to listen; port 0 lets the system choose
     * @throws IOException where the address is in use or not one of this machine
     */
    public static HttpListener openTls(
            IoThreads ioThreads,
            InetSocketAddress address,
            ServerLimits limits,
            RequestHandler requestHandler,
            SSLContext tlsContext)
            throws IOException {
        return new HttpListener(ioThreads, address, limits, requestHandler, tlsContext);
    }

    /**
     * Resets every connection whose client certificate is no longer trusted, whatever the
     * connection is doing.
     *
     * @param isRevoked tests a certificate chain; called on the I/O threads
     */
    public void closeRevoked(Predicate<X509Certificate[]> isRevoked) {
        connections.forEach(c -> c.loop.execute(() -> c.closeIfRevoked(isRevoked)));
    }

    /** The address that is listened on. */
    public InetSocketAddress address() {
        return channel.getLocalAddress(InetSocketAddress.class);
    }

    /** Number of connections open now. */
    public int openConnections() {
        return openCount.get();
    }

    /** Number of connections rejected since the start because the limit was reached. */
    public long rejectedConnections() {
        return rejectedCount.sum();
    }

    // Unlike RawListener this accepts all that is ready in one turn and does not pause after a
    // failed accept; the two loops stay apart since one for both would change either.
    private void accept(AcceptingChannel<? extends StreamConnection> channelReady) {
        try {
            StreamConnection accepted = channelReady.accept();
            while (accepted != null) {
                register(accepted);
                accepted = channelReady.accept();
            }
        } catch (IOException e) {
            // This one connection is lost, or descriptors have run out; tried again when next
            // ready.
        }
    }

    private void register(StreamConnection accepted) {
        IoLoop loop = ioThreads.loop(accepted.getIoThread().getNumber());
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

    /** Stops listening; each connection closes after its present request, an idle one at once. */
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
