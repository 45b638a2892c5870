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

/** A listening socket whose connections carry a protocol other than HTTP. */
public final class RawListener implements Closeable {
    // Connections taken before other sockets have their turn.
    private static final int MAX_ACCEPTS_PER_TURN = 64;
    // Rest after an accept that failed, ns: with no descriptor left the socket stays ready, and
    // trying at once would spin.
    private static final long ACCEPT_BACKOFF_NS = 50_000_000L;

    private final IoThreads net;
    private final Consumer<RawConnection> onConnection;
    private final AcceptingChannel<? extends StreamConnection> channel;

    private RawListener(
            IoThreads net,
            InetSocketAddress address,
            int backlog,
            Consumer<RawConnection> onConnection)
            throws IOException {
        this.net = net;
        this.onConnection = onConnection;
        ChannelListener<AcceptingChannel<StreamConnection>> accept = this::accept;
        channel =
                net.worker.createStreamConnectionServer(
                        address,
                        accept,
                        OptionMap.builder()
                                .set(Options.TCP_NODELAY, true)
                                .set(Options.REUSE_ADDRESSES, true)
                                .set(Options.BACKLOG, backlog)
                                .getMap());
        channel.resumeAccepts();
    }

    /**
     * Listens.
     *
     * @param at where; port 0 lets the system choose
     * @param backlog connections the system may hold before they are accepted
     * @param taker is given each connection on its I/O thread
     * @throws IOException where the address is taken or not this machine's
     */
    public static RawListener open(
            IoThreads net,
            InetSocketAddress address,
            int backlog,
            Consumer<RawConnection> onConnection)
            throws IOException {
        return new RawListener(net, address, backlog, onConnection);
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
                        new RawConnection(net.loop(accepted.getIoThread().getNumber()), accepted);
                connection.loop.run(() -> onConnection.accept(connection));
                accepted = count < MAX_ACCEPTS_PER_TURN ? channelReady.accept() : null;
            }
        } catch (IOException e) {
            // The one connection is lost, or descriptors have run out.
            channelReady.suspendAccepts();
            net.loop(0).schedule(ACCEPT_BACKOFF_NS, channelReady::resumeAccepts);
        }
    }

    /**
     * Takes what the system has accepted already, then stops listening; called on an I/O thread.
     */
    public void acceptRemainingAndClose() {
        accept(channel);
        close();
    }

    /** Stops listening; its connections go on. */
    @Override
    public void close() {
        IoUtils.safeClose(channel);
    }
}
