package brooklock.net;

import brooklock.http.BodyDecoder;
import brooklock.http.Framing;
import brooklock.http.HttpProtocolException;
import brooklock.http.RequestHead;
import brooklock.http.RequestParser;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.security.cert.X509Certificate;
import java.util.function.Predicate;
import org.xnio.Options;
import org.xnio.StreamConnection;

/**
 * The server's side of one connection. Requests are processed one at a time, in order: a pipelined
 * request waits unread, at most one buffer of it, until the response before it has been written.
 */
final class HttpServerConnection extends Connection {
    /**
     * After a last response the client's further input is read and discarded for so long: closing
     * over unread input would make the system discard the response too (RFC 9112, section 9.6).
     */
    private static final long LINGER_TIMEOUT_NS = 500_000_000L;

    final HttpListener listener;
    private final RequestParser parser;
    private final boolean overLimit;
    private BodyDecoder body;

    /** The request being processed; null between requests. */
    private HttpExchange exchange;

    private int requestCount;
    private boolean headTimerStarted;
    private boolean lingering;
    private boolean inputEnded;

    /** Creates a connection; one that is {@code overLimit} only gets 503. */
    HttpServerConnection(
            HttpListener listener, IoLoop loop, StreamConnection channel, boolean overLimit) {
        super(loop, channel);
        this.listener = listener;
        this.overLimit = overLimit;
        parser = new RequestParser(listener.limits.http());
    }

    void start() {
        listenForReadiness();
        channel.setCloseListener(gone -> closeNow());
        deadline.startTimeout(listener.limits.headTimeoutNs());
        if (overLimit) {
            reject(503, "connections are full");
        } else {
            source.resumeReads();
            onReadable();
        }
    }

    // ---- Reading

    @Override
    void onReadable() {
        if (closed) {
            return;
        }
        try {
            readWhileReady();
        } catch (HttpProtocolException e) {
            onInvalidRequest(e);
        } catch (IOException e) {
            closeNow();
        }
    }

    private void readWhileReady() throws IOException, HttpProtocolException {
        while (!closed) {
            int bytesRead = readInput();
            if (closed) {
                // A read that finds the end may close the connection at once.
                return;
            }
            if (lingering) {
                discard(bytesRead);
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
                // A pipelined request fills the buffer while the one before it is being processed.
                source.suspendReads();
                return;
            }
            // The socket stays ready while there is more, but not for a TLS record that was read
            // from it and has not been decrypted.
            if (bytesRead == 0 || (!full && !tls)) {
                return;
            }
        }
    }

    private void discard(int bytesRead) {
        input.clear();
        if (bytesRead < 0) {
            closeNow();
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
                startExchange(head);
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

    private void startExchange(RequestHead head) throws HttpProtocolException {
        body = BodyDecoder.ofRequest(Framing.of(head), listener.limits.http());
        exchange = new HttpExchange(this, head, !body.isComplete());
        requestCount++;
        deadline.startTimeout(listener.limits.bodyTimeoutNs());
        if (body.isComplete()) {
            deadline.clear();
        }
        listener.requestHandler.onRequest(exchange);
    }

    private void startHeadTimer() {
        if (parser.isMidMessage() && !headTimerStarted) {
            headTimerStarted = true;
            deadline.startTimeout(listener.limits.headTimeoutNs());
        }
    }

    // Between requests the end of input ends the connection; within one the client has left, or has
    // only ended its side and waits for the response.
    private void onEndOfInput() {
        inputEnded = true;
        releaseInput();
        if (exchange == null
                || (body != null && !body.isComplete())
                || listener.limits.halfCloseEndsExchange()) {
            closeNow();
        } else {
            source.suspendReads();
        }
    }

    /** The handler wants the request's body, some of which may have come along with the head. */
    void resumeReading() {
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
     * Writes buffers, which must be left alone until all are written.
     *
     * @return true if the socket took them all; else {@link HttpExchange#socketWritable} is called
     *     once it has
     */
    boolean write(ByteBuffer... buffers) {
        if (closed) {
            return true;
        }
        for (ByteBuffer buffer : buffers) {
            writeQueue.add(buffer);
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

    @Override
    void onWritable() {
        if (!closed && flush() && !closed) {
            if (exchange != null) {
                exchange.socketWritable();
            } else if (lingering) {
                startLingering();
            }
        }
    }

    /** The response has been written. */
    void responseComplete(boolean keepAlive) {
        boolean bodyComplete = body == null || body.isComplete();
        boolean continues = keepAlive && bodyComplete && isReusable();
        exchange = null;
        body = null;
        headTimerStarted = false;
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

    private void startLingering() {
        try {
            shutDownOutput();
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

    // The input is not a request, or not a complete one; an exchange that has begun is lost.
    private void onInvalidRequest(HttpProtocolException error) {
        loseExchange();
        reject(error.status, error.getMessage());
    }

    private void reject(int status, String reason) {
        if (closed) {
            return;
        }
        lingering = true;
        if (write(ProtocolErrorResponse.encode(status, reason)) && !closed) {
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
            loseExchange();
            reject(408, "the request's body took too long to come");
        } else if (exchange != null) {
            exchange.clientGone();
            abort();
        } else {
            closeNow();
        }
    }

    private void loseExchange() {
        if (exchange != null) {
            exchange.clientGone();
            exchange = null;
        }
    }

    /** Whether the connection may carry another request after this one. */
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

    /** Closes with a reset, so that a client does not take a body without a length for complete. */
    void abort() {
        try {
            channel.setOption(Options.CLOSE_ABORT, true);
        } catch (IOException e) {
            // Closed in the ordinary way then: a body with a length or chunks still shows as short.
        }
        closeNow();
    }

    /** Closes the connection at once; an exchange that it carries is lost. */
    void closeNow() {
        if (!closeOnce()) {
            return;
        }
        listener.onClosed(this);
        HttpExchange lost = exchange;
        exchange = null;
        if (lost != null) {
            lost.clientGone();
        }
    }

    void closeIfRevoked(Predicate<X509Certificate[]> isRevoked) {
        X509Certificate[] chain = closed ? null : certificates();
        if (chain != null && isRevoked.test(chain)) {
            if (exchange != null) {
                exchange.clientGone();
            }
            abort();
        }
    }

    /**
     * The client's certificate chain, its own first; null where it sent none or TLS is not used.
     */
    X509Certificate[] certificates() {
        return PeerCertificates.of(channel);
    }

    InetSocketAddress peerAddress() {
        return channel.getPeerAddress(InetSocketAddress.class);
    }
}
