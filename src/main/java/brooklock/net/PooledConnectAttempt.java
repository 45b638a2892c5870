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
 * A connection of a pool that is being established, TLS handshake included. It belongs to no call:
 * once established it serves whichever call has waited longest.
 */
final class PooledConnectAttempt extends AbstractConnectAttempt {
    private final HttpConnectionPool pool;
    private final InetSocketAddress address;
    private final JsseXnioSsl tls;
    private StreamConnection established;
    private boolean handshakeDone;

    /** Prepares an attempt; {@code tls} is null for a plain connection. */
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

    // At once where possible: nobody holds this attempt, and a call waits for it.
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
            pool.onConnectFailed(reason);
        }
    }

    // The handshake is part of connecting: a request written during it would count as sent, so that
    // a failed handshake could not be told from an executed request.
    private void beginHandshake(SslConnection ssl) {
        ssl.getHandshakeSetter()
                .set(
                        done -> {
                            // Called from within a read or a flush: what is sent only after they
                            // return does not come in between.
                            handshakeDone = true;
                            loop.execute(this::onEstablished);
                        });
        ssl.setCloseListener(gone -> loop.run(() -> fail("closed in the handshake")));
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

    // Reads and flushes drive the handshake; any data before a request is sent is an error.
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
                fail(bytesRead < 0 ? "closed in the handshake" : "an answer before a request");
            }
        } catch (IOException e) {
            fail(String.valueOf(e.getMessage()));
        } finally {
            loop.buffers.release(unused);
        }
    }

    private void onEstablished() {
        if (settle()) {
            pool.onConnected(established);
        }
    }
}
