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
public final class Dial {
    private final IoLoop loop;
    private final Consumer<Stream> opened;
    private final Consumer<String> failed;
    private IoFuture<StreamConnection> future;
    private XnioExecutor.Key timer;
    private boolean settled;

    private Dial(IoLoop loop, Consumer<Stream> opened, Consumer<String> failed) {
        this.loop = loop;
        this.opened = opened;
        this.failed = failed;
    }

    /**
     * Begins to connect; called on the loop's thread, on which either of the two is called later.
     *
     * @param limitNs time for the connection to come up, ns
     */
    public static Dial to(
            IoLoop loop,
            InetSocketAddress address,
            long limitNs,
            Consumer<Stream> opened,
            Consumer<String> failed) {
        Dial d = new Dial(loop, opened, failed);
        d.begin(address, limitNs);
        return d;
    }

    private void begin(InetSocketAddress address, long limitNs) {
        future =
                loop.thread.openStreamConnection(
                        address,
                        c -> loop.execute(() -> there(c)),
                        OptionMap.create(Options.TCP_NODELAY, true));
        timer =
                loop.after(
                        limitNs,
                        () -> {
                            future.cancel();
                            fails("no connection in time");
                        });
        future.addNotifier(
                new IoFuture.HandlingNotifier<StreamConnection, Void>() {
                    @Override
                    public void handleFailed(IOException e, Void nothing) {
                        loop.execute(() -> fails(String.valueOf(e.getMessage())));
                    }
                },
                null);
    }

    private void there(StreamConnection c) {
        if (settle()) {
            opened.accept(new Stream(loop, c));
        } else {
            IoUtils.safeClose(c);
        }
    }

    private void fails(String why) {
        if (settle()) {
            failed.accept(why);
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
    public void giveUp() {
        if (settle()) {
            future.cancel();
        }
    }
}
