package brooklock.net;

import java.net.InetSocketAddress;
import java.util.function.Consumer;
import org.xnio.ChannelListener;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;

/**
 * An attempt to establish a {@link RawConnection}. Not thread-safe: all methods must be called on
 * the I/O thread that the connection will belong to.
 */
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
     * Starts an attempt. Exactly one of the two callbacks is called on the loop's thread, after
     * this method has returned; neither is called after {@link #cancel}.
     *
     * @param loop the I/O thread of the connection, on which this method must be called
     * @param address the address to connect to
     * @param timeoutNs maximum time to establish the connection, in nanoseconds
     * @param onOpened receives the connection, on which {@link RawConnection#start} must be called
     * @param onFailed receives the reason, as text for a log line
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

    // The callback is queued even if this is the loop's thread: connect must return the attempt to
    // its caller before a callback runs.
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

    /** Cancels the attempt; neither callback is called any more. Does nothing if it has ended. */
    public void cancel() {
        if (settle()) {
            cancelChannel();
        }
    }
}
