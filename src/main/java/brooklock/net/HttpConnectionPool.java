package brooklock.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import org.xnio.ChannelListener;
import org.xnio.IoFuture;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioExecutor;
import org.xnio.ssl.JsseXnioSsl;
import org.xnio.ssl.SslConnection;

/**
 * Connections of one I/O thread to one host. The bounds are per host and I/O thread; nothing is
 * shared with the pools of the other threads. A call that finds no idle connection waits in line
 * for the first that is opened or becomes free, no longer than a connection may take.
 */
final class HttpConnectionPool {
    private final IoLoop loop;
    private final InetSocketAddress address;
    private final ClientLimits limits;
    private final JsseXnioSsl tls;
    private final ArrayDeque<HttpClientConnection> idleConnections = new ArrayDeque<>();
    private final ArrayDeque<ClientCall> waitingCalls = new ArrayDeque<>();
    // Of all connections, those on their way as well.
    private int openCount;
    private int connectingCount;

    HttpConnectionPool(
            IoLoop loop, InetSocketAddress address, ClientLimits limits, JsseXnioSsl tls) {
        this.tls = tls;
        this.loop = loop;
        this.address = address;
        this.limits = limits;
    }

    void submit(ClientCall call) {
        loop.checkThread();
        if (startOnIdle(call)) {
            return;
        }
        if (waitingCalls.size() - connectingCount >= limits.maxWaitingCalls()) {
            call.fail(CallFailure.NOT_CONNECTED, "too many wait for a connection");
            return;
        }
        waitingCalls.add(call);
        call.onQueued(
                loop.schedule(
                        limits.connectTimeoutNs(),
                        () -> {
                            if (waitingCalls.remove(call)) {
                                call.fail(CallFailure.NOT_CONNECTED, "no connection in time");
                            }
                        }));
        connectMore();
    }

    void removeWaiting(ClientCall call) {
        waitingCalls.remove(call);
    }

    // The one used last is the least likely to have been closed by its host meanwhile.
    private boolean startOnIdle(ClientCall call) {
        for (HttpClientConnection c = idleConnections.pollFirst();
                c != null;
                c = idleConnections.pollFirst()) {
            if (c.isAlive()) {
                c.start(call);
                return true;
            }
            c.closeNow();
        }
        return false;
    }

    // One for each call in line, but few at a time: each opening keeps the host busy, with TLS for
    // milliseconds, and a
    // connection that becomes free may serve a call before its opening is done.
    private void connectMore() {
        while (connectingCount < waitingCalls.size()
                && connectingCount < limits.maxConnecting()
                && openCount < limits.maxConnections()) {
            openCount++;
            connectingCount++;
            new PooledConnectAttempt().start();
        }
    }

    // One connection on its way, with its handshake. It serves whichever call is first in line when
    // it is there; where it
    // fails, so does the call that is first in line then.
    private final class PooledConnectAttempt implements ChannelListener<StreamConnection> {
        private static final long serialVersionUID = 1L;
        private transient XnioExecutor.Key connectTimer;
        private transient StreamConnection established;
        private boolean settled;
        private boolean handshakeDone;

        void start() {
            OptionMap options = OptionMap.create(Options.TCP_NODELAY, true);
            IoFuture<? extends StreamConnection> future =
                    tls == null
                            ? loop.thread.openStreamConnection(address, this, options)
                            : tls.openSslConnection(loop.thread, address, this, options);
            if (!settled) {
                connectTimer =
                        loop.schedule(
                                limits.connectTimeoutNs(),
                                () -> {
                                    future.cancel();
                                    fail("no connection in time");
                                });
            }
            future.addNotifier(
                    new IoFuture.HandlingNotifier<Object, Void>() {
                        @Override
                        public void handleFailed(IOException e, Void nothing) {
                            loop.run(() -> fail(String.valueOf(e.getMessage())));
                        }
                    },
                    null);
        }

        private boolean settle() {
            if (settled) {
                return false;
            }
            settled = true;
            connectingCount--;
            if (connectTimer != null) {
                connectTimer.remove();
            }
            return true;
        }

        private void fail(String reason) {
            if (!settle()) {
                return;
            }
            org.xnio.IoUtils.safeClose(established);
            openCount--;
            ClientCall longestWaiting = waitingCalls.pollFirst();
            if (longestWaiting != null) {
                longestWaiting.fail(CallFailure.NOT_CONNECTED, reason);
            }
            connectMore();
        }

        @Override
        public void handleEvent(StreamConnection c) {
            loop.run(
                    () -> {
                        established = c;
                        if (settled) {
                            org.xnio.IoUtils.safeClose(c);
                        } else if (c instanceof SslConnection s) {
                            beginHandshake(s);
                        } else {
                            onConnected();
                        }
                    });
        }

        // The handshake is part of the opening: a call that is written into it would count as sent.
        private void beginHandshake(SslConnection c) {
            c.getHandshakeSetter()
                    .set(
                            s -> {
                                // Told from within a read or a flush: what is sent now would come
                                // in between.
                                handshakeDone = true;
                                loop.execute(this::onConnected);
                            });
            c.setCloseListener(s -> loop.run(() -> fail("closed in the handshake")));
            c.getSourceChannel().setReadListener(s -> advanceHandshake(c));
            c.getSinkChannel().setWriteListener(s -> advanceHandshake(c));
            try {
                c.startHandshake();
                advanceHandshake(c);
                c.getSourceChannel().resumeReads();
            } catch (IOException e) {
                fail(String.valueOf(e.getMessage()));
            }
        }

        // Reading and flushing drive the handshake; nothing else may come before a request is sent.
        private void advanceHandshake(SslConnection c) {
            if (settled || handshakeDone) {
                return;
            }
            ByteBuffer none = loop.buffers.acquire();
            try {
                int n = c.getSourceChannel().read(none);
                if (c.getSinkChannel().flush()) {
                    c.getSinkChannel().suspendWrites();
                } else {
                    c.getSinkChannel().resumeWrites();
                }
                if (n != 0) {
                    fail(n < 0 ? "closed in the handshake" : "an answer before a request");
                }
            } catch (IOException e) {
                fail(String.valueOf(e.getMessage()));
            } finally {
                loop.buffers.release(none);
            }
        }

        private void onConnected() {
            if (settle()) {
                release(
                        new HttpClientConnection(
                                HttpConnectionPool.this, loop, established, limits));
                connectMore();
            }
        }
    }

    /** A connection is free again. */
    void release(HttpClientConnection connection) {
        ClientCall waiting = waitingCalls.pollFirst();
        if (waiting != null) {
            waiting.onDequeued();
            connection.start(waiting);
        } else if (idleConnections.size() < limits.maxIdleConnections()) {
            idleConnections.addFirst(connection);
            connection.becomeIdle();
        } else {
            connection.closeNow();
        }
    }

    /** A connection is gone. */
    void onClosed(HttpClientConnection connection) {
        openCount--;
        idleConnections.remove(connection);
        connectMore();
    }

    void closeIdle() {
        for (HttpClientConnection c = idleConnections.pollFirst();
                c != null;
                c = idleConnections.pollFirst()) {
            c.closeNow();
        }
    }

    boolean isUnused() {
        return openCount == 0 && waitingCalls.isEmpty();
    }
}
