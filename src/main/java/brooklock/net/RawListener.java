package brooklock.net;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import org.xnio.ChannelListener;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.channels.AcceptingChannel;

/**
 * A server socket whose connections carry a protocol other than HTTP. Listens from {@link #open}
 * until {@link #close} or {@link #acceptRemainingAndClose}. {@link #address} and {@link #close} may
 * be called from any thread.
 */
public final class RawListener implements Closeable {
    /** Maximum number of connections accepted before the other sockets of the thread are served. */
    private static final int MAX_ACCEPTS_PER_TURN = 64;

    /**
     * Pause after a failed accept. If no file descriptor is available the socket stays ready, and
     * accepting again at once would occupy the thread completely.
     */
    private static final long ACCEPT_BACKOFF_NS = 50_000_000L;

    private final IoThreads ioThreads;
    private final Consumer<RawConnection> onConnection;
    private final AcceptingChannel<? extends StreamConnection> channel;

    private RawListener(
            IoThreads ioThreads,
            InetSocketAddress address,
            int backlog,
            Consumer<RawConnection> onConnection)
            throws IOException {
        this.ioThreads = ioThreads;
        this.onConnection = onConnection;
        ChannelListener<AcceptingChannel<StreamConnection>> whenReady = this::accept;
        channel =
                ioThreads.worker.createStreamConnectionServer(
                        address,
                        whenReady,
                        OptionMap.builder()
                                .set(Options.TCP_NODELAY, true)
                                .set(Options.REUSE_ADDRESSES, true)
                                .set(Options.BACKLOG, backlog)
                                .getMap());
        channel.resumeAccepts();
    }

    /**
     * Starts listening.
     *
     * @param ioThreads the threads among which the connections are distributed
     * @param address the address to listen on; with port 0 the system chooses a port
     * @param backlog maximum number of connections that the system queues before they are accepted
     * @param onConnection receives each connection on its I/O thread, and must call {@link
     *     RawConnection#start} on it
     * @throws IOException if the address is in use or is not an address of this host
     */
    public static RawListener open(
            IoThreads ioThreads,
            InetSocketAddress address,
            int backlog,
            Consumer<RawConnection> onConnection)
            throws IOException {
        return new RawListener(ioThreads, address, backlog, onConnection);
    }

    /** Returns the local address, with the port that the system has chosen if 0 was given. */
    public InetSocketAddress address() {
        return channel.getLocalAddress(InetSocketAddress.class);
    }

    private void accept(AcceptingChannel<? extends StreamConnection> readyChannel) {
        try {
            StreamConnection accepted = readyChannel.accept();
            for (int count = 1; accepted != null; count++) {
                RawConnection connection =
                        new RawConnection(
                                ioThreads.loop(accepted.getIoThread().getNumber()), accepted);
                connection.loop.run(() -> onConnection.accept(connection));
                accepted = count < MAX_ACCEPTS_PER_TURN ? readyChannel.accept() : null;
            }
        } catch (IOException e) {
            // The connection was lost before it was accepted, or no file descriptor is available.
            readyChannel.suspendAccepts();
            ioThreads.loop(0).schedule(ACCEPT_BACKOFF_NS, readyChannel::resumeAccepts);
        }
    }

    /**
     * Accepts the connections that the system has already established, at most {@value
     * #MAX_ACCEPTS_PER_TURN}, and stops listening. Without this the system would reset them. Must
     * be called on an I/O thread.
     */
    public void acceptRemainingAndClose() {
        accept(channel);
        close();
    }

    /** Stops listening; open connections stay open. */
    @Override
    public void close() {
        IoUtils.safeClose(channel);
    }
}
