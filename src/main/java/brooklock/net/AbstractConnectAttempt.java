package brooklock.net;

import java.io.IOException;
import org.xnio.ChannelListener;
import org.xnio.IoFuture;
import org.xnio.StreamConnection;
import org.xnio.XnioExecutor;

/**
 * Base class of attempts to establish an outgoing connection. An attempt is settled once it has
 * succeeded, failed, timed out or been cancelled, and later events are ignored. All methods are
 * called on the I/O thread of {@link #loop} only; {@link #start} is called once, before any other.
 */
abstract class AbstractConnectAttempt {
    final IoLoop loop;
    private IoFuture<? extends StreamConnection> future;
    private XnioExecutor.Key timer;
    private boolean settled;

    AbstractConnectAttempt(IoLoop loop) {
        this.loop = loop;
    }

    /** Opens the channel; {@code whenOpen} may be called on any thread once TCP is connected. */
    abstract IoFuture<? extends StreamConnection> openChannel(
            ChannelListener<StreamConnection> whenOpen);

    /** Runs a callback on the I/O thread. */
    abstract void dispatch(Runnable callback);

    /**
     * Called when TCP is connected. If the attempt has settled already, the implementation must
     * close the channel, because it has no other owner.
     */
    abstract void onChannelOpen(StreamConnection channel);

    /** Called when the connection cannot be established; ignored if the attempt has settled. */
    abstract void fail(String reason);

    /** Starts the attempt, which fails if it has not settled after {@code timeoutNs} ns. */
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
     * Settles the attempt and cancels its timer.
     *
     * @return false if it had settled before
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

    /** Cancels the opening of the channel. The caller has settled the attempt. */
    final void cancelChannel() {
        future.cancel();
    }
}
