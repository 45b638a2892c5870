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
 * An HTTP/1.1 server socket and its open connections, which passes each request to a {@link
 * RequestHandler}. Listens from {@link #open} or {@link #openTls} until {@link #drain} or {@link
 * #close}.
 *
 * <p>Thread-safe: all public methods may be called from any thread. The handler is called on the
 * I/O thread of each connection, and hence on several threads at once if there are several.
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
        // A certificate is requested from every client but required from none: whether a request
        // needs one depends on its route.
        options.set(Options.SSL_CLIENT_AUTH_MODE, SslClientAuthMode.REQUESTED)
                .set(Options.SSL_ENABLED_PROTOCOLS, Sequence.of("TLSv1.3", "TLSv1.2"));
        ChannelListener<AcceptingChannel<SslConnection>> whenReady = this::accept;
        return new JsseXnioSsl(ioThreads.worker.getXnio(), OptionMap.EMPTY, tlsContext)
                .createSslConnectionServer(ioThreads.worker, address, whenReady, options.getMap());
    }

    /**
     * Starts listening for connections without TLS.
     *
     * @param ioThreads the threads among which the connections are distributed
     * @param address the address to listen on; with port 0 the system chooses a port
     * @param limits the limits of the listener and of each connection
     * @param requestHandler handles the requests
     * @throws IOException if the address is in use or is not an address of this host
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
     * Starts listening for TLS 1.3 and 1.2 connections. A client certificate is requested, and
     * checked by the context's trust manager if the client sends one.
     *
     * @param ioThreads the threads among which the connections are distributed
     * @param address the address to listen on; with port 0 the system chooses a port
     * @param limits the limits of the listener and of each connection
     * @param requestHandler handles the requests
     * @param tlsContext the TLS context with the server's certificates and the trust manager
     * @throws IOException if the address is in use or is not an address of this host
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
     * Resets every connection whose client certificate is no longer trusted, even while a request
     * is in flight on it. Returns before the connections have been closed.
     *
     * @param isRevoked returns whether a certificate chain is no longer trusted; called on the I/O
     *     threads
     */
    public void closeRevoked(Predicate<X509Certificate[]> isRevoked) {
        connections.forEach(c -> c.loop.execute(() -> c.closeIfRevoked(isRevoked)));
    }

    /** Returns the local address, with the port that the system has chosen if 0 was given. */
    public InetSocketAddress address() {
        return channel.getLocalAddress(InetSocketAddress.class);
    }

    /** Returns the number of open connections. */
    public int openConnections() {
        return openCount.get();
    }

    /**
     * Returns the number of connections rejected since the listener was opened because {@link
     * ServerLimits#maxConnections} were open already.
     */
    public long rejectedConnections() {
        return rejectedCount.sum();
    }

    // Accepts every connection that is ready. RawListener has its own loop, because it limits the
    // accepts per wakeup and pauses after a failed accept; this listener does neither.
    private void accept(AcceptingChannel<? extends StreamConnection> readyChannel) {
        try {
            StreamConnection accepted = readyChannel.accept();
            while (accepted != null) {
                register(accepted);
                accepted = readyChannel.accept();
            }
        } catch (IOException e) {
            // The connection was lost before it was accepted, or no file descriptor is available.
            // Accepting resumes when the socket is next ready.
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

    /**
     * Stops listening, and closes each connection after its current request, or at once if it is
     * idle. Returns before the connections have been closed.
     */
    public void drain() {
        draining = true;
        IoUtils.safeClose(channel);
        connections.forEach(c -> c.loop.execute(c::drain));
    }

    /** Stops listening and closes every connection; returns before they have been closed. */
    @Override
    public void close() {
        drain();
        connections.forEach(c -> c.loop.execute(c::closeNow));
    }
}
