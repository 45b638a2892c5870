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
final class HostPool {
    private final IoLoop loop;
    private final InetSocketAddress address;
    private final ClientLimits limits;
    private final JsseXnioSsl tls;
    private final ArrayDeque<ClientConnection> idle = new ArrayDeque<>();
    private final ArrayDeque<ClientCall> line = new ArrayDeque<>();
    // Of all connections, those on their way as well.
    private int open;
    private int opening;

    HostPool(IoLoop loop, InetSocketAddress address, ClientLimits limits, JsseXnioSsl tls) {
        this.tls = tls;
        this.loop = loop;
        this.address = address;
        this.limits = limits;
    }

    void begin(ClientCall call) {
        loop.mustBeHere();
        if (reuse(call)) {
            return;
        }
        if (line.size() - opening >= limits.waiting()) {
            call.failed(Failure.NOT_CONNECTED, "too many wait for a connection");
            return;
        }
        line.add(call);
        call.waitsUntil(
                loop.after(
                        limits.connectNs(),
                        () -> {
                            if (line.remove(call)) {
                                call.failed(Failure.NOT_CONNECTED, "no connection in time");
                            }
                        }));
        openMore();
    }

    void leaveLine(ClientCall call) {
        line.remove(call);
    }

    // The one used last is the least likely to have been closed by its host meanwhile.
    private boolean reuse(ClientCall call) {
        for (ClientConnection c = idle.pollFirst(); c != null; c = idle.pollFirst()) {
            if (c.alive()) {
                c.run(call);
                return true;
            }
            c.kill();
        }
        return false;
    }

    // One for each call in line, but few at a time: each opening keeps the host busy, with TLS for
    // milliseconds, and a
    // connection that becomes free may serve a call before its opening is done.
    private void openMore() {
        while (opening < line.size()
                && opening < limits.openings()
                && open < limits.connections()) {
            open++;
            opening++;
            new Opening().begin();
        }
    }

    // One connection on its way, with its handshake. It serves whichever call is first in line when
    // it is there; where it
    // fails, so does the call that is first in line then.
    private final class Opening implements ChannelListener<StreamConnection> {
        private static final long serialVersionUID = 1L;
        private transient XnioExecutor.Key timer;
        private transient StreamConnection reached;
        private boolean settled;
        private boolean shaken;

        void begin() {
            OptionMap options = OptionMap.create(Options.TCP_NODELAY, true);
            IoFuture<? extends StreamConnection> future =
                    tls == null
                            ? loop.thread.openStreamConnection(address, this, options)
                            : tls.openSslConnection(loop.thread, address, this, options);
            if (!settled) {
                timer =
                        loop.after(
                                limits.connectNs(),
                                () -> {
                                    future.cancel();
                                    failed("no connection in time");
                                });
            }
            future.addNotifier(
                    new IoFuture.HandlingNotifier<Object, Void>() {
                        @Override
                        public void handleFailed(IOException e, Void nothing) {
                            loop.run(() -> failed(String.valueOf(e.getMessage())));
                        }
                    },
                    null);
        }

        private boolean settle() {
            if (settled) {
                return false;
            }
            settled = true;
            opening--;
            if (timer != null) {
                timer.remove();
            }
            return true;
        }

        private void failed(String why) {
            if (!settle()) {
                return;
            }
            org.xnio.IoUtils.safeClose(reached);
            open--;
            ClientCall first = line.pollFirst();
            if (first != null) {
                first.failed(Failure.NOT_CONNECTED, why);
            }
            openMore();
        }

        @Override
        public void handleEvent(StreamConnection c) {
            loop.run(
                    () -> {
                        reached = c;
                        if (settled) {
                            org.xnio.IoUtils.safeClose(c);
                        } else if (c instanceof SslConnection s) {
                            shake(s);
                        } else {
                            there();
                        }
                    });
        }

        // The handshake is part of the opening: a call that is written into it would count as sent.
        private void shake(SslConnection c) {
            c.getHandshakeSetter()
                    .set(
                            s -> {
                                // Told from within a read or a flush: what is sent now would come
                                // in between.
                                shaken = true;
                                loop.execute(this::there);
                            });
            c.setCloseListener(s -> loop.run(() -> failed("closed in the handshake")));
            c.getSourceChannel().setReadListener(s -> further(c));
            c.getSinkChannel().setWriteListener(s -> further(c));
            try {
                c.startHandshake();
                further(c);
                c.getSourceChannel().resumeReads();
            } catch (IOException e) {
                failed(String.valueOf(e.getMessage()));
            }
        }

        // Reading and flushing drive the handshake; nothing else may come before a request is sent.
        private void further(SslConnection c) {
            if (settled || shaken) {
                return;
            }
            ByteBuffer none = loop.buffers.take();
            try {
                int n = c.getSourceChannel().read(none);
                if (c.getSinkChannel().flush()) {
                    c.getSinkChannel().suspendWrites();
                } else {
                    c.getSinkChannel().resumeWrites();
                }
                if (n != 0) {
                    failed(n < 0 ? "closed in the handshake" : "an answer before a request");
                }
            } catch (IOException e) {
                failed(String.valueOf(e.getMessage()));
            } finally {
                loop.buffers.give(none);
            }
        }

        private void there() {
            if (settle()) {
                free(new ClientConnection(HostPool.this, loop, reached, limits));
                openMore();
            }
        }
    }

    /** A connection is free again. */
    void free(ClientConnection c) {
        ClientCall next = line.pollFirst();
        if (next != null) {
            next.leftLine();
            c.run(next);
        } else if (idle.size() < limits.idle()) {
            idle.addFirst(c);
            c.idle();
        } else {
            c.kill();
        }
    }

    /** A connection is gone. */
    void gone(ClientConnection c) {
        open--;
        idle.remove(c);
        openMore();
    }

    void closeIdle() {
        for (ClientConnection c = idle.pollFirst(); c != null; c = idle.pollFirst()) {
            c.kill();
        }
    }

    boolean unused() {
        return open == 0 && line.isEmpty();
    }
}
