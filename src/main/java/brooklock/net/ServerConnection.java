package brooklock.net;

import brooklock.http.BodyDecoder;
import brooklock.http.Fields;
import brooklock.http.Framing;
import brooklock.http.HttpProblem;
import brooklock.http.RequestHead;
import brooklock.http.RequestParser;
import brooklock.http.ResponseHead;
import brooklock.http.Writing;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.security.cert.Certificate;
import java.security.cert.X509Certificate;
import java.util.Arrays;
import java.util.function.Predicate;
import javax.net.ssl.SSLPeerUnverifiedException;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.ssl.SslConnection;

/**
 * The server's side of one connection. Requests are taken one at a time, in order: a pipelined one
 * waits unread, at most a buffer of it, until the answer before it has gone out.
 */
final class ServerConnection extends Wire {
    // Once an answer to a bad request has gone out, what the client still sends is read away for so
    // long, so that
    // the system does not throw the answer away with a reset (RFC 9112, section 9.6).
    private static final long LINGER_NS = 500_000_000L;

    final Listener listener;
    private final RequestParser parser;
    private final boolean unwanted;
    private BodyDecoder body;
    private ServerExchange current;
    private int served;
    private boolean lingering;
    private boolean inputEnded;

    ServerConnection(
            Listener listener, IoLoop loop, StreamConnection connection, boolean unwanted) {
        super(loop, connection);
        this.listener = listener;
        this.unwanted = unwanted;
        parser = new RequestParser(listener.limits.http());
    }

    void start() {
        source.setReadListener(c -> readable());
        connection.getSinkChannel().setWriteListener(c -> writable());
        connection.setCloseListener(c -> kill());
        watchdog.in(listener.limits.headNs());
        if (unwanted) {
            refuse(503, "connections are full");
        } else {
            source.resumeReads();
            readable();
        }
    }

    // ---- Reading

    private void readable() {
        if (closed) {
            return;
        }
        try {
            read();
        } catch (HttpProblem e) {
            bad(e);
        } catch (IOException e) {
            kill();
        }
    }

    private void read() throws IOException, HttpProblem {
        while (!closed) {
            int n = fill();
            if (closed) {
                // A read that finds the end may close the connection at once.
                return;
            }
            if (lingering) {
                in.clear();
                if (n < 0) {
                    kill();
                }
                if (n <= 0) {
                    return;
                }
                continue;
            }
            if (n < 0) {
                ended();
                return;
            }
            boolean full = !in.hasRemaining();
            in.flip();
            parse();
            if (closed || in == null) {
                return;
            }
            keepRest();
            if (in != null && !in.hasRemaining()) {
                // A pipelined request fills the buffer while the one before it is at work.
                source.suspendReads();
                return;
            }
            // Readiness is told again while there is more, but not for a record of TLS that was
            // read and not opened yet.
            if (n == 0 || !full && !tls) {
                return;
            }
        }
    }

    private void parse() throws HttpProblem {
        while (!closed && !lingering && in.hasRemaining()) {
            if (current == null) {
                RequestHead head = parser.next(in);
                if (head == null) {
                    watchStart();
                    return;
                }
                body = BodyDecoder.ofRequest(Framing.of(head), listener.limits.http());
                current = new ServerExchange(this, head, !body.done());
                served++;
                watchdog.in(listener.limits.bodyNs());
                if (body.done()) {
                    watchdog.off();
                }
                listener.handler.request(current);
            } else if (!body.done() && current.wantsBody()) {
                ByteBuffer piece = body.next(in);
                if (piece != null) {
                    current.bodyPiece(piece);
                }
                if (body.done()) {
                    watchdog.off();
                    current.bodyEnd();
                } else if (piece == null) {
                    return;
                }
            } else {
                return;
            }
        }
    }

    private boolean headBegun;

    private void watchStart() {
        if (parser.midway() && !headBegun) {
            headBegun = true;
            watchdog.in(listener.limits.headNs());
        }
    }

    // The client's side has ended: between requests that is the end, within one it has left or
    // waits on.
    private void ended() {
        inputEnded = true;
        giveBuffer();
        if (current == null || body != null && !body.done() || listener.limits.halfCloseLeaves()) {
            kill();
        } else {
            source.suspendReads();
        }
    }

    void resumeBody() {
        // The request's body may have come along with its head.
        loop.execute(
                () -> {
                    if (!closed) {
                        source.resumeReads();
                        again();
                    }
                });
    }

    private void again() {
        if (in != null && in.position() > 0) {
            try {
                in.flip();
                parse();
                keepRest();
            } catch (HttpProblem e) {
                bad(e);
                return;
            }
        }
        if (!closed && !inputEnded) {
            source.resumeReads();
            readable();
        }
    }

    // ---- Writing

    /**
     * Hands buffers to the socket; true if it took all, else {@link ServerExchange#onWritable} is
     * called later.
     */
    boolean write(ByteBuffer... buffers) {
        if (closed) {
            return true;
        }
        for (ByteBuffer b : buffers) {
            output.add(b);
        }
        return flush();
    }

    private boolean flush() {
        try {
            long before = output.written();
            boolean all = output.flush();
            if (closed) {
                return true;
            }
            if (!all) {
                if (output.written() > before || !connection.getSinkChannel().isWriteResumed()) {
                    watchdog.in(listener.limits.stallNs());
                }
                connection.getSinkChannel().resumeWrites();
            } else if (connection.getSinkChannel().isWriteResumed()) {
                connection.getSinkChannel().suspendWrites();
                watchdog.off();
            }
            return all;
        } catch (IOException e) {
            kill();
            return true;
        }
    }

    private void writable() {
        if (!closed && flush() && !closed) {
            if (current != null) {
                current.writable();
            } else if (lingering) {
                linger();
            }
        }
    }

    boolean continues() {
        return write(Writing.response(new ResponseHead(100, new Fields())));
    }

    /** The answer has gone out whole. */
    void finished(boolean keep) {
        boolean bodyRead = body == null || body.done();
        current = null;
        body = null;
        headBegun = false;
        boolean goesOn =
                keep
                        && bodyRead
                        && !inputEnded
                        && !listener.draining()
                        && served < listener.limits.requests();
        if (!goesOn) {
            lingering = true;
            if (output.empty()) {
                linger();
            }
            return;
        }
        watchdog.in(listener.limits.idleNs());
        loop.execute(
                () -> {
                    if (!closed && current == null) {
                        again();
                    }
                });
    }

    // What the client still sends is read away for a moment before the connection is closed.
    private void linger() {
        try {
            connection.getSinkChannel().shutdownWrites();
            connection.getSinkChannel().flush();
        } catch (IOException e) {
            kill();
            return;
        }
        if (inputEnded) {
            kill();
        } else {
            watchdog.in(LINGER_NS);
            source.resumeReads();
        }
    }

    // What came is not a request, or not a whole one: one that had begun has lapsed.
    private void bad(HttpProblem e) {
        if (current != null) {
            current.lapse();
            current = null;
        }
        refuse(e.status, e.getMessage());
    }

    private void refuse(int status, String why) {
        if (closed) {
            return;
        }
        byte[] text = (why + "\n").getBytes(java.nio.charset.StandardCharsets.UTF_8);
        Fields f =
                new Fields()
                        .add("Content-Type", "text/plain; charset=utf-8")
                        .add("Content-Length", Integer.toString(text.length))
                        .add("Connection", "close");
        if (status == 503) {
            f.add("Retry-After", "1");
        }
        lingering = true;
        if (write(Writing.response(new ResponseHead(status, f)), ByteBuffer.wrap(text))
                && !closed) {
            linger();
        }
    }

    // ---- Ends

    @Override
    void late() {
        if (current == null && parser.midway()) {
            refuse(408, "the request took too long to come");
        } else if (current != null && body != null && !body.done() && !current.answering()) {
            current.lapse();
            current = null;
            refuse(408, "the request's body took too long to come");
        } else if (current != null) {
            ServerExchange x = current;
            x.lapse();
            abort();
        } else {
            kill();
        }
    }

    boolean mayKeep() {
        return !listener.draining() && served < listener.limits.requests() && !inputEnded;
    }

    void drain() {
        if (!closed && current == null && !parser.midway()) {
            kill();
        }
    }

    /** Closes with a reset, so that a body that has no length is not taken for whole. */
    void abort() {
        try {
            connection.setOption(Options.CLOSE_ABORT, true);
        } catch (IOException e) {
            // Closed then in the ordinary way: a body with a length or chunks is seen to be short
            // all the same.
        }
        kill();
    }

    void kill() {
        if (!end()) {
            return;
        }
        listener.closed(this);
        ServerExchange x = current;
        current = null;
        if (x != null) {
            x.lapse();
        }
    }

    /**
     * The client's certificates, its own first; null where it showed none or the way is not TLS.
     */
    X509Certificate[] certificates() {
        if (!(connection instanceof SslConnection tls) || tls.getSslSession() == null) {
            return null;
        }
        try {
            Certificate[] chain = tls.getSslSession().getPeerCertificates();
            return Arrays.copyOf(chain, chain.length, X509Certificate[].class);
        } catch (SSLPeerUnverifiedException e) {
            return null;
        }
    }

    void breakOffIf(Predicate<X509Certificate[]> revoked) {
        X509Certificate[] chain = closed ? null : certificates();
        if (chain != null && revoked.test(chain)) {
            ServerExchange x = current;
            if (x != null) {
                x.lapse();
            }
            abort();
        }
    }

    java.net.InetSocketAddress peer() {
        return connection.getPeerAddress(java.net.InetSocketAddress.class);
    }
}
