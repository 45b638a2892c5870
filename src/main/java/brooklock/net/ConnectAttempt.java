package brooklock.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioExecutor;

/**
 * One connection on its way to a peer that speaks a protocol other than HTTP. Ends once: opened,
 * failed or given up.
 */
public final class ConnectAttempt {
    private final IoLoop loop;
    private final Consumer<RawConnection> onOpened;
    private final Consumer<String> onFailed;
    private IoFuture<StreamConnection> future;
    private XnioExecutor.Key timer;
    private boolean settled;

    private ConnectAttempt(
            IoLoop loop, Consumer<RawConnection> onOpened, Consumer<String> onFailed) {
        this.loop = loop;
        this.onOpened = onOpened;
        this.onFailed = onFailed;
    }

    /**
     * Begins to connect; called on the loop's thread, on which either of the two is called later.
     *
     * @param limitNs time for the connection to come up, ns
     */
    public static ConnectAttempt connect(
            IoLoop loop,
            InetSocketAddress address,
            long timeoutNs,
            Consumer<RawConnection> onOpened,
            Consumer<String> onFailed) {
        ConnectAttempt attempt = new ConnectAttempt(loop, onOpened, onFailed);
        attempt.start(address, timeoutNs);
        return attempt;
    }

    private void start(InetSocketAddress address, long timeoutNs) {
        future =
                loop.thread.openStreamConnection(
                        address,
                        c -> loop.execute(() -> onConnected(c)),
                        OptionMap.create(Options.TCP_NODELAY, true));
        timer =
                loop.schedule(
                        timeoutNs,
                        () -> {
                            future.cancel();
                            onFailure("no connection in time");
                        });
        future.addNotifier(
                new IoFuture.HandlingNotifier<StreamConnection, Void>() {
                    @Override
                    public void handleFailed(IOException e, Void nothing) {
                        loop.execute(() -> onFailure(String.valueOf(e.getMessage())));
                    }
                },
                null);
    }

    private void onConnected(StreamConnection established) {
        if (settle()) {
            onOpened.accept(new RawConnection(loop, established));
        } else {
            IoUtils.safeClose(established);
        }
    }

    private void onFailure(String reason) {
        if (settle()) {
            onFailed.accept(reason);
        }
    }

    private boolean settle() {
        if (settled) {
            return false;
        }
        settled = true;
        timer.remove();
        return true;
    }

    /** Gives it up; nothing is called any more. */
    public void cancel() {
        if (settle()) {
            future.cancel();
        }
    }
}
