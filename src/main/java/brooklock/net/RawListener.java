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

/** A listening socket whose connections speak a protocol other than HTTP. */
public final class RawListener implements Closeable {
    /** Connections accepted before other sockets get their turn. */
    private static final int MAX_ACCEPTS_PER_TURN = 64;

    /**
     * Pause after a failed accept. With no descriptor left the socket stays ready, so that
     * accepting again at once would keep the thread busy with nothing else.
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
     * @param address where to listen; port 0 lets the system choose
     * @param backlog connections that the system may hold before they are accepted
     * @param onConnection receives each connection on its I/O thread, and must start it
     * @throws IOException where the address is in use or not one of this machine
     */
    public static RawListener open(
            IoThreads ioThreads,
            InetSocketAddress address,
            int backlog,
            Consumer<RawConnection> onConnection)
            throws IOException {
        return new RawListener(ioThreads, address, backlog, onConnection);
    }

    /** The address that is listened on. */
    public InetSocketAddress address() {
        return channel.getLocalAddress(InetSocketAddress.class);
    }

    private void accept(AcceptingChannel<? extends StreamConnection> channelReady) {
        try {
            StreamConnection accepted = channelReady.accept();
            for (int count = 1; accepted != null; count++) {
                RawConnection connection =
                        new RawConnection(
                                ioThreads.loop(accepted.getIoThread().getNumber()), accepted);
                connection.loop.run(() -> onConnection.accept(connection));
                accepted = count < MAX_ACCEPTS_PER_TURN ? channelReady.accept() : null;
            }
        } catch (IOException e) {
            // This one connection is lost, or descriptors have run out.
            channelReady.suspendAccepts();
            ioThreads.loop(0).schedule(ACCEPT_BACKOFF_NS, channelReady::resumeAccepts);
        }
    }

    /**
     * Accepts what the system has already connected, then stops listening: those peers would
     * otherwise be reset. Called on an I/O thread.
     */
    public void acceptRemainingAndClose() {
        accept(channel);
        close();
    }

    /** Stops listening; open connections continue. */
    @Override
    public void close() {
        IoUtils.safeClose(channel);
    }
}
