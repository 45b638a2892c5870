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
 * The server side of one connection. Used on its I/O thread only. Requests are processed one at a
 * time and in order: at most one buffer of a pipelined request is read until the response to the
 * previous request has been written.
 */
final class HttpServerConnection extends Connection {
    /**
     * How long further input is read and discarded after the last response. Closing the socket
     * while input is unread could make the client lose the response (RFC 9112, section 9.6).
     */
    private static final long LINGER_TIMEOUT_NS = 500_000_000L;

    final HttpListener listener;
    private final RequestParser parser;
    private final boolean overLimit;
    private BodyDecoder body;

    /** The current request; null between requests. */
    private HttpExchange exchange;

    private int requestCount;
    private boolean headTimerStarted;
    private boolean lingering;
    private boolean inputEnded;

    /** Creates a connection; if {@code overLimit} is true, {@link #start} rejects it with 503. */
    HttpServerConnection(
            HttpListener listener, IoLoop loop, StreamConnection channel, boolean overLimit) {
        super(loop, channel);
        this.listener = listener;
        this.overLimit = overLimit;
        parser = new RequestParser(listener.limits.http());
    }

    void start() {
        listenForReadiness();
        channel.setCloseListener(closedChannel -> closeNow());
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
            readAvailable();
        } catch (HttpProtocolException e) {
            onInvalidRequest(e);
        } catch (IOException e) {
            closeNow();
        }
    }

    private void readAvailable() throws IOException, HttpProtocolException {
        for (int reads = 0; !closed && reads < MAX_READS_PER_TURN; reads++) {
            int bytesRead = readInput();
            if (closed) {
                // A read that reaches the end of input may close the connection.
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
            boolean bufferFull = !input.hasRemaining();
            input.flip();
            parse();
            if (closed || input == null) {
                return;
            }
            keepUnconsumed();
            if (isInputFull()) {
                // A pipelined request has filled the buffer while another one is being processed.
                source.suspendReads();
                return;
            }
            if (bytesRead == 0 || (!bufferFull && !tls)) {
                return;
            }
        }
        continueReadingInNextTurn();
    }

    private void discard(int bytesRead) {
        releaseInput();
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

    // Between requests the end of input ends the connection. During a request the client may have
    // shut down only its sending side and still be waiting for the response.
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

    /** Resumes reading for the request's body, whose start may already be in the input buffer. */
    void resumeReading() {
        loop.execute(
                () -> {
                    if (!closed) {
                        source.resumeReads();
                        continueReading();
                    }
                });
    }

    private void continueReading() {
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
     * Writes buffers, which must not be modified until they are written.
     *
     * @return true if the socket accepted all output; false if some is queued, in which case {@link
     *     HttpExchange#onSocketWritable} is called once it has been written
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
                exchange.onSocketWritable();
            } else if (lingering) {
                startLingering();
            }
        }
    }

    /** Called when the response has been written. */
    void onResponseComplete(boolean keepAlive) {
        boolean bodyComplete = body == null || body.isComplete();
        boolean reusable = keepAlive && bodyComplete && isReusable();
        exchange = null;
        body = null;
        headTimerStarted = false;
        if (!reusable) {
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
                        continueReading();
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

    // Ends the exchange of the malformed or oversized request, if any, and sends the error.
    private void onInvalidRequest(HttpProtocolException error) {
        abandonExchange();
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

    // ---- Timeouts and close

    @Override
    void onTimeout() {
        if (exchange == null && parser.isMidMessage()) {
            reject(408, "the request took too long to come");
        } else if (exchange != null
                && body != null
                && !body.isComplete()
                && !exchange.isResponseStarted()) {
            abandonExchange();
            reject(408, "the request's body took too long to come");
        } else if (exchange != null) {
            exchange.onClientDisconnected();
            abort();
        } else {
            closeNow();
        }
    }

    private void abandonExchange() {
        if (exchange != null) {
            exchange.onClientDisconnected();
            exchange = null;
        }
    }

    /** Returns whether the connection may carry another request after the current one. */
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

    /** Resets the connection, so that a client does not take a truncated body for complete. */
    void abort() {
        try {
            channel.setOption(Options.CLOSE_ABORT, true);
        } catch (IOException e) {
            // Closed without a reset. If the body has a length or is chunked, the client still
            // detects that it is incomplete.
        }
        closeNow();
    }

    /**
     * Closes the connection at once; the current exchange ends as if the client had disconnected.
     */
    void closeNow() {
        if (!closeOnce()) {
            return;
        }
        listener.onClosed(this);
        HttpExchange endedExchange = exchange;
        exchange = null;
        if (endedExchange != null) {
            endedExchange.onClientDisconnected();
        }
    }

    void closeIfRevoked(Predicate<X509Certificate[]> isRevoked) {
        X509Certificate[] chain = closed ? null : certificates();
        if (chain != null && isRevoked.test(chain)) {
            if (exchange != null) {
                exchange.onClientDisconnected();
            }
            abort();
        }
    }

    /** Returns the client's certificate chain; null if it sent none or TLS is not used. */
    X509Certificate[] certificates() {
        return PeerCertificates.of(channel);
    }

    InetSocketAddress peerAddress() {
        return channel.getPeerAddress(InetSocketAddress.class);
    }
}
