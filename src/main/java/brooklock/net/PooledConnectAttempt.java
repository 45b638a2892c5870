package brooklock.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import org.xnio.ChannelListener;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.ssl.JsseXnioSsl;
import org.xnio.ssl.SslConnection;

/**
 * An attempt to establish a connection of a {@link HttpConnectionPool}, including its TLS
 * handshake. Used on the pool's I/O thread only. It belongs to no call: once established, the
 * connection serves the call that has waited longest.
 */
final class PooledConnectAttempt extends AbstractConnectAttempt {
    private final HttpConnectionPool pool;
    private final InetSocketAddress address;
    private final JsseXnioSsl tls;
    private StreamConnection established;
    private boolean handshakeDone;
    private boolean overdue;

    /** Creates an attempt, not yet started; {@code tls} is null for a connection without TLS. */
    PooledConnectAttempt(
            HttpConnectionPool pool, IoLoop loop, InetSocketAddress address, JsseXnioSsl tls) {
        super(loop);
        this.pool = pool;
        this.address = address;
        this.tls = tls;
    }

    @Override
    IoFuture<? extends StreamConnection> openChannel(ChannelListener<StreamConnection> whenOpen) {
        OptionMap options = OptionMap.create(Options.TCP_NODELAY, true);
        return tls == null
                ? loop.thread.openStreamConnection(address, whenOpen, options)
                : tls.openSslConnection(loop.thread, address, whenOpen, options);
    }

    // Runs the callback at once if this is the I/O thread, because a call is waiting. Unlike with
    // ConnectAttempt, no caller needs a reference to the attempt before the callback runs.
    @Override
    void dispatch(Runnable callback) {
        loop.run(callback);
    }

    @Override
    void onChannelOpen(StreamConnection channel) {
        established = channel;
        if (isSettled()) {
            IoUtils.safeClose(channel);
        } else if (channel instanceof SslConnection ssl) {
            beginHandshake(ssl);
        } else {
            onEstablished();
        }
    }

    @Override
    void fail(String reason) {
        if (settle()) {
            IoUtils.safeClose(established);
            pool.onConnectFailed(reason, overdue);
        }
    }

    /** Called when the connect timeout has passed; the attempt goes on. */
    void becomeOverdue() {
        if (!isSettled()) {
            overdue = true;
            pool.onOverdue();
        }
    }

    // The handshake is part of connecting. A request written during it would count as sent, so a
    // failed handshake could not be distinguished from a request that was executed.
    private void beginHandshake(SslConnection ssl) {
        ssl.getHandshakeSetter()
                .set(
                        done -> {
                            // Called from within a read or a flush. The connection is used only
                            // after they have returned, so that a request is not sent in between.
                            handshakeDone = true;
                            loop.execute(this::onEstablished);
                        });
        ssl.setCloseListener(
                closedChannel ->
                        loop.run(() -> fail("connection closed during the TLS handshake")));
        ssl.getSourceChannel().setReadListener(ready -> advanceHandshake(ssl));
        ssl.getSinkChannel().setWriteListener(ready -> advanceHandshake(ssl));
        try {
            ssl.startHandshake();
            advanceHandshake(ssl);
            ssl.getSourceChannel().resumeReads();
        } catch (IOException e) {
            fail(String.valueOf(e.getMessage()));
        }
    }

    // Reads and flushes drive the handshake; application data before the first request is an error.
    private void advanceHandshake(SslConnection ssl) {
        if (isSettled() || handshakeDone) {
            return;
        }
        ByteBuffer unused = loop.buffers.acquire();
        try {
            int bytesRead = ssl.getSourceChannel().read(unused);
            if (ssl.getSinkChannel().flush()) {
                ssl.getSinkChannel().suspendWrites();
            } else {
                ssl.getSinkChannel().resumeWrites();
            }
            if (bytesRead != 0) {
                fail(
                        bytesRead < 0
                                ? "connection closed during the TLS handshake"
                                : "the endpoint sent data before it received a request");
            }
        } catch (IOException e) {
            fail(String.valueOf(e.getMessage()));
        } finally {
            loop.buffers.release(unused);
        }
    }

    private void onEstablished() {
        if (settle()) {
            pool.onConnected(established, overdue);
        }
    }
}
