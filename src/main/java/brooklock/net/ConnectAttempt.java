package brooklock.net;

import java.net.InetSocketAddress;
import java.util.function.Consumer;
import org.xnio.ChannelListener;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;

/** A {@link RawConnection} that is being established. */
public final class ConnectAttempt extends AbstractConnectAttempt {
    private final InetSocketAddress address;
    private final Consumer<RawConnection> onOpened;
    private final Consumer<String> onFailed;

    private ConnectAttempt(
            IoLoop loop,
            InetSocketAddress address,
            Consumer<RawConnection> onOpened,
            Consumer<String> onFailed) {
        super(loop);
        this.address = address;
        this.onOpened = onOpened;
        this.onFailed = onFailed;
    }

    /**
     * Begins to connect. Called on the loop's thread, on which exactly one of the two callbacks is
     * called later, never from within this call; none after {@link #cancel}.
     *
     * @param timeoutNs time for the connection to be established, ns
     * @param onFailed receives the reason in plain words
     */
    public static ConnectAttempt connect(
            IoLoop loop,
            InetSocketAddress address,
            long timeoutNs,
            Consumer<RawConnection> onOpened,
            Consumer<String> onFailed) {
        ConnectAttempt attempt = new ConnectAttempt(loop, address, onOpened, onFailed);
        attempt.start(timeoutNs);
        return attempt;
    }

    @Override
    IoFuture<? extends StreamConnection> openChannel(ChannelListener<StreamConnection> whenOpen) {
        return loop.thread.openStreamConnection(
                address, whenOpen, OptionMap.create(Options.TCP_NODELAY, true));
    }

    // Later even on the loop's own thread: the caller must hold the attempt before it is called
    // back.
    @Override
    void dispatch(Runnable callback) {
        loop.execute(callback);
    }

    @Override
    void onChannelOpen(StreamConnection channel) {
        if (settle()) {
            onOpened.accept(new RawConnection(loop, channel));
        } else {
            IoUtils.safeClose(channel);
        }
    }

    @Override
    void fail(String reason) {
        if (settle()) {
            onFailed.accept(reason);
        }
    }

    /** Cancels the attempt; neither callback is called any more. */
    public void cancel() {
        if (settle()) {
            cancelChannel();
        }
    }
}
