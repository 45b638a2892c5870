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
public final class StreamListener implements Closeable {
    // Connections taken before other sockets have their turn.
    private static final int AT_ONCE = 64;
    // Rest after an accept that failed, ns: with no descriptor left the socket stays ready, and
    // trying at once would spin.
    private static final long REST_NS = 50_000_000L;

    private final Net net;
    private final Consumer<Stream> taker;
    private final AcceptingChannel<? extends StreamConnection> channel;

    private StreamListener(Net net, InetSocketAddress at, int backlog, Consumer<Stream> taker)
            throws IOException {
        this.net = net;
        this.taker = taker;
        ChannelListener<AcceptingChannel<StreamConnection>> accept = this::accept;
        channel =
                net.worker.createStreamConnectionServer(
                        at,
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
    public static StreamListener open(
            Net net, InetSocketAddress at, int backlog, Consumer<Stream> taker) throws IOException {
        return new StreamListener(net, at, backlog, taker);
    }

    /** The address that is listened on. */
    public InetSocketAddress address() {
        return channel.getLocalAddress(InetSocketAddress.class);
    }

    private void accept(AcceptingChannel<? extends StreamConnection> from) {
        try {
            StreamConnection c = from.accept();
            for (int n = 1; c != null; n++) {
                Stream s = new Stream(net.loop(c.getIoThread().getNumber()), c);
                s.loop.run(() -> taker.accept(s));
                c = n < AT_ONCE ? from.accept() : null;
            }
        } catch (IOException e) {
            // The one connection is lost, or descriptors have run out.
            from.suspendAccepts();
            net.loop(0).after(REST_NS, from::resumeAccepts);
        }
    }

    /**
     * Takes what the system has accepted already, then stops listening; called on an I/O thread.
     */
    public void finish() {
        accept(channel);
        close();
    }

    /** Stops listening; its connections go on. */
    @Override
    public void close() {
        IoUtils.safeClose(channel);
    }
}
