package brooklock.net;

import java.io.IOException;
import org.xnio.ChannelListener;
import org.xnio.IoFuture;
import org.xnio.StreamConnection;
import org.xnio.XnioExecutor;

/**
 * An outgoing connection that is being established. It settles once: established, failed, timed out
 * or cancelled; whatever else happens later is ignored. Used on its I/O thread only.
 */
abstract class AbstractConnectAttempt {
    final IoLoop loop;
    private IoFuture<? extends StreamConnection> future;
    private XnioExecutor.Key timer;
    private boolean settled;

    AbstractConnectAttempt(IoLoop loop) {
        this.loop = loop;
    }

    /** Opens the channel; {@code whenOpen} is called on any thread once TCP is connected. */
    abstract IoFuture<? extends StreamConnection> openChannel(
            ChannelListener<StreamConnection> whenOpen);

    /** Runs a callback on the I/O thread. */
    abstract void dispatch(Runnable callback);

    /** TCP is connected, perhaps after this has settled: the channel must be closed then. */
    abstract void onChannelOpen(StreamConnection channel);

    /** The connection cannot be established; ignored once this has settled. */
    abstract void fail(String reason);

    final void start(long timeoutNs) {
        future = openChannel(channel -> dispatch(() -> onChannelOpen(channel)));
        if (!settled) {
            timer =
                    loop.schedule(
                            timeoutNs,
                            () -> {
                                future.cancel();
                                fail("no connection in time");
                            });
        }
        future.addNotifier(
                new IoFuture.HandlingNotifier<Object, Void>() {
                    @Override
                    public void handleFailed(IOException e, Void attachment) {
                        dispatch(() -> fail(String.valueOf(e.getMessage())));
                    }
                },
                null);
    }

    final boolean isSettled() {
        return settled;
    }

    /**
     * Settles the attempt.
     *
     * @return false where it had settled before
     */
    final boolean settle() {
        if (settled) {
            return false;
        }
        settled = true;
        if (timer != null) {
            timer.remove();
        }
        return true;
    }

    /** Interrupts the connect; what comes of it is ignored if this has settled. */
    final void cancelChannel() {
        future.cancel();
    }
}
