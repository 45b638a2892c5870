package brooklock.net;

import brooklock.http.BodyDecoder;
import brooklock.http.Fields;
import brooklock.http.Framing;
import brooklock.http.HttpEncoder;
import brooklock.http.HttpProtocolException;
import brooklock.http.RequestHead;
import brooklock.http.RequestParser;
import brooklock.http.ResponseHead;
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
final class HttpServerConnection extends Connection {
    // Once an answer to a bad request has gone out, what the client still sends is read away for so
    // long, so that
    // the system does not throw the answer away with a reset (RFC 9112, section 9.6).
    private static final long LINGER_TIMEOUT_NS = 500_000_000L;

    final HttpListener listener;
    private final RequestParser parser;
    private final boolean overLimit;
    private BodyDecoder body;
    private HttpExchange exchange;
    private int requestCount;
    private boolean lingering;
    private boolean inputEnded;

    HttpServerConnection(
            HttpListener listener, IoLoop loop, StreamConnection connection, boolean overLimit) {
        super(loop, connection);
        this.listener = listener;
        this.overLimit = overLimit;
        parser = new RequestParser(listener.limits.http());
    }

    void start() {
        source.setReadListener(c -> onReadable());
        channel.getSinkChannel().setWriteListener(c -> onWritable());
        channel.setCloseListener(c -> closeNow());
        deadline.startTimeout(listener.limits.headTimeoutNs());
        if (overLimit) {
            reject(503, "connections are full");
        } else {
            source.resumeReads();
            onReadable();
        }
    }

    // ---- Reading

    private void onReadable() {
        if (closed) {
            return;
        }
        try {
            read();
        } catch (HttpProtocolException e) {
            onInvalidRequest(e);
        } catch (IOException e) {
            closeNow();
        }
    }

    private void read() throws IOException, HttpProtocolException {
        while (!closed) {
            int bytesRead = readInput();
            if (closed) {
                // A read that finds the end may close the connection at once.
                return;
            }
            if (lingering) {
                input.clear();
                if (bytesRead < 0) {
                    closeNow();
                }
                if (bytesRead <= 0) {
                    return;
                }
                continue;
            }
            if (bytesRead < 0) {
                onEndOfInput();
                return;
            }
            boolean full = !input.hasRemaining();
            input.flip();
            parse();
            if (closed || input == null) {
                return;
            }
            keepUnconsumed();
            if (input != null && !input.hasRemaining()) {
                // A pipelined request fills the buffer while the one before it is at work.
                source.suspendReads();
                return;
            }
            // Readiness is told again while there is more, but not for a record of TLS that was
            // read and not opened yet.
            if (bytesRead == 0 || !full && !tls) {
                return;
            }
        }
    }

    private void parse() throws HttpProtocolException {
        while (!closed && !lingering && input.hasRemaining()) {
            if (exchange == null) {
                RequestHead head = parser.next(input);
                if (head == null) {
                    startHeadTimer();
                    return;
                }
                body = BodyDecoder.ofRequest(Framing.of(head), listener.limits.http());
                exchange = new HttpExchange(this, head, !body.isComplete());
                requestCount++;
                deadline.startTimeout(listener.limits.bodyTimeoutNs());
                if (body.isComplete()) {
                    deadline.clear();
                }
                listener.requestHandler.onRequest(exchange);
            } else if (!body.isComplete() && exchange.isReadingBody()) {
                ByteBuffer piece = body.next(input);
                if (piece != null) {
                    exchange.onBodyPiece(piece);
                }
                if (body.isComplete()) {
                    deadline.clear();
                    exchange.onBodyComplete();
                } else if (piece == null) {
                    return;
                }
            } else {
                return;
            }
        }
    }

    private boolean headTimerStarted;

    private void startHeadTimer() {
        if (parser.isMidMessage() && !headTimerStarted) {
            headTimerStarted = true;
            deadline.startTimeout(listener.limits.headTimeoutNs());
        }
    }

    // The client's side has ended: between requests that is the end, within one it has left or
    // waits on.
    private void onEndOfInput() {
        inputEnded = true;
        releaseInput();
        if (exchange == null
                || body != null && !body.isComplete()
                || listener.limits.halfCloseEndsExchange()) {
            closeNow();
        } else {
            source.suspendReads();
        }
    }

    void resumeReading() {
        // The request's body may have come along with its head.
        loop.execute(
                () -> {
                    if (!closed) {
                        source.resumeReads();
                        readOn();
                    }
                });
    }

    private void readOn() {
        if (input != null && input.position() > 0) {
            try {
                input.flip();
                parse();
                keepUnconsumed();
            } catch (HttpProtocolException e) {
                onInvalidRequest(e);
                return;
            }
        }
        if (!closed && !inputEnded) {
            source.resumeReads();
            onReadable();
        }
    }

    // ---- Writing

    /**
     * Hands buffers to the socket; true if it took all, else {@link HttpExchange#onWritable} is
     * called later.
     */
    boolean write(ByteBuffer... buffers) {
        if (closed) {
            return true;
        }
        for (ByteBuffer b : buffers) {
            writeQueue.add(b);
        }
        return flush();
    }

    private boolean flush() {
        try {
            long writtenBefore = writeQueue.writtenBytes();
            boolean complete = writeQueue.flush();
            if (closed) {
                return true;
            }
            if (!complete) {
                if (writeQueue.writtenBytes() > writtenBefore
                        || !channel.getSinkChannel().isWriteResumed()) {
                    deadline.startTimeout(listener.limits.stallTimeoutNs());
                }
                channel.getSinkChannel().resumeWrites();
            } else if (channel.getSinkChannel().isWriteResumed()) {
                channel.getSinkChannel().suspendWrites();
                deadline.clear();
            }
            return complete;
        } catch (IOException e) {
            closeNow();
            return true;
        }
    }

    private void onWritable() {
        if (!closed && flush() && !closed) {
            if (exchange != null) {
                exchange.socketWritable();
            } else if (lingering) {
                startLingering();
            }
        }
    }

    boolean sendContinue() {
        return write(HttpEncoder.encodeResponse(new ResponseHead(100, new Fields())));
    }

    /** The answer has gone out whole. */
    void responseComplete(boolean keepAlive) {
        boolean bodyComplete = body == null || body.isComplete();
        exchange = null;
        body = null;
        headTimerStarted = false;
        boolean continues =
                keepAlive
                        && bodyComplete
                        && !inputEnded
                        && !listener.isDraining()
                        && requestCount < listener.limits.maxRequestsPerConnection();
        if (!continues) {
            lingering = true;
            if (writeQueue.isEmpty()) {
                startLingering();
            }
            return;
        }
        deadline.startTimeout(listener.limits.idleTimeoutNs());
        loop.execute(
                () -> {
                    if (!closed && exchange == null) {
                        readOn();
                    }
                });
    }

    // What the client still sends is read away for a moment before the connection is closed.
    private void startLingering() {
        try {
            channel.getSinkChannel().shutdownWrites();
            channel.getSinkChannel().flush();
        } catch (IOException e) {
            closeNow();
            return;
        }
        if (inputEnded) {
            closeNow();
        } else {
            deadline.startTimeout(LINGER_TIMEOUT_NS);
            source.resumeReads();
        }
    }

    // What came is not a request, or not a whole one: one that had begun has lapsed.
    private void onInvalidRequest(HttpProtocolException error) {
        if (exchange != null) {
            exchange.clientGone();
            exchange = null;
        }
        reject(error.status, error.getMessage());
    }

    private void reject(int status, String reason) {
        if (closed) {
            return;
        }
        byte[] bodyBytes = (reason + "\n").getBytes(java.nio.charset.StandardCharsets.UTF_8);
        Fields fields =
                new Fields()
                        .add("Content-Type", "text/plain; charset=utf-8")
                        .add("Content-Length", Integer.toString(bodyBytes.length))
                        .add("Connection", "close");
        if (status == 503) {
            fields.add("Retry-After", "1");
        }
        lingering = true;
        if (write(
                        HttpEncoder.encodeResponse(new ResponseHead(status, fields)),
                        ByteBuffer.wrap(bodyBytes))
                && !closed) {
            startLingering();
        }
    }

    // ---- Ends

    @Override
    void onTimeout() {
        if (exchange == null && parser.isMidMessage()) {
            reject(408, "the request took too long to come");
        } else if (exchange != null
                && body != null
                && !body.isComplete()
                && !exchange.isResponseStarted()) {
            exchange.clientGone();
            exchange = null;
            reject(408, "the request's body took too long to come");
        } else if (exchange != null) {
            HttpExchange lapsed = exchange;
            lapsed.clientGone();
            abort();
        } else {
            closeNow();
        }
    }

    boolean isReusable() {
        return !listener.isDraining()
                && requestCount < listener.limits.maxRequestsPerConnection()
                && !inputEnded;
    }

    void drain() {
        if (!closed && exchange == null && !parser.isMidMessage()) {
            closeNow();
        }
    }

    /** Closes with a reset, so that a body that has no length is not taken for whole. */
    void abort() {
        try {
            channel.setOption(Options.CLOSE_ABORT, true);
        } catch (IOException e) {
            // Closed then in the ordinary way: a body with a length or chunks is seen to be short
            // all the same.
        }
        closeNow();
    }

    void closeNow() {
        if (!closeOnce()) {
            return;
        }
        listener.onClosed(this);
        HttpExchange lapsed = exchange;
        exchange = null;
        if (lapsed != null) {
            lapsed.clientGone();
        }
    }

    /**
     * The client's certificates, its own first; null where it showed none or the way is not TLS.
     */
    X509Certificate[] certificates() {
        if (!(channel instanceof SslConnection tls) || tls.getSslSession() == null) {
            return null;
        }
        try {
            Certificate[] chain = tls.getSslSession().getPeerCertificates();
            return Arrays.copyOf(chain, chain.length, X509Certificate[].class);
        } catch (SSLPeerUnverifiedException e) {
            return null;
        }
    }

    void closeIfRevoked(Predicate<X509Certificate[]> isRevoked) {
        X509Certificate[] chain = closed ? null : certificates();
        if (chain != null && isRevoked.test(chain)) {
            HttpExchange lapsed = exchange;
            if (lapsed != null) {
                lapsed.clientGone();
            }
            abort();
        }
    }

    java.net.InetSocketAddress peerAddress() {
        return channel.getPeerAddress(java.net.InetSocketAddress.class);
    }
}
