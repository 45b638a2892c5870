package brooklock.net;

import brooklock.http.BodyDecoder;
import brooklock.http.Fields;
import brooklock.http.Framing;
import brooklock.http.HttpEncoder;
import brooklock.http.HttpProtocolException;
import brooklock.http.ResponseHead;
import brooklock.http.ResponseParser;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.StreamConnection;

/**
 * The client side of one connection to an endpoint, which carries one call at a time. Used on its
 * I/O thread only. Its {@link HttpConnectionPool} calls {@link #start} for each call and {@link
 * #becomeIdle} when no call is waiting.
 */
final class HttpClientConnection extends Connection {
    /**
     * Maximum number of interim responses before the final one; without a maximum an endpoint could
     * keep a call open for ever.
     */
    private static final int MAX_INTERIM_RESPONSES = 8;

    private final HttpConnectionPool pool;
    private final ClientLimits limits;
    private final ResponseParser parser;

    /** The call that the connection carries; null while it is idle or closed. */
    private ClientCall call;

    private ResponseHead head;
    private BodyDecoder body;
    private long writtenBeforeCall;
    private int interimResponses;
    private int callsStarted;

    /** Whether the handler has paused reading; it may still be using the input buffer. */
    private boolean paused;

    HttpClientConnection(
            HttpConnectionPool pool, IoLoop loop, StreamConnection channel, ClientLimits limits) {
        super(loop, channel);
        this.pool = pool;
        this.limits = limits;
        parser = new ResponseParser(limits.http());
        listenForReadiness();
        channel.setCloseListener(closedChannel -> onConnectionLost("the connection was closed"));
    }

    /**
     * Returns whether an idle connection is usable: the endpoint has neither closed it nor sent
     * data without a request.
     */
    boolean isAlive() {
        if (closed) {
            return false;
        }
        try {
            ByteBuffer buffer = loop.buffers.acquire();
            int bytesRead = source.read(buffer);
            loop.buffers.release(buffer);
            return bytesRead == 0;
        } catch (IOException e) {
            return false;
        }
    }

    /** Sends the request of a call, unless its handler cancels it; no other call may be active. */
    void start(ClientCall newCall) {
        if (!newCall.handler.shouldSend()) {
            newCall.fail(
                    CallFailure.NOT_SENT, "the handler cancelled the request before it was sent");
            pool.release(this);
            return;
        }
        call = newCall;
        callsStarted++;
        newCall.attach(this);
        head = null;
        body = null;
        interimResponses = 0;
        paused = false;
        deadline.clear();
        writtenBeforeCall = writeQueue.writtenBytes();
        writeQueue.add(HttpEncoder.encodeRequest(newCall.head));
        if (newCall.body.length > 0) {
            writeQueue.add(ByteBuffer.wrap(newCall.body));
        }
        source.resumeReads();
        onWritable();
    }

    @Override
    void onWritable() {
        if (closed) {
            return;
        }
        try {
            flushOutput();
        } catch (IOException e) {
            onConnectionLost(String.valueOf(e.getMessage()));
        }
    }

    // ---- Reading the response

    @Override
    void onReadable() {
        if (closed || paused) {
            return;
        }
        try {
            // Without TLS one buffer per callback is enough, since the socket stays ready while it
            // has input. With TLS a record may have been read from the socket but not decrypted,
            // and the socket does not become ready for it again.
            boolean inputArrived = readOnce();
            for (int reads = 1; inputArrived && tls && !closed && !paused; reads++) {
                if (reads == MAX_READS_PER_TURN) {
                    continueReadingInNextTurn();
                    return;
                }
                inputArrived = readOnce();
            }
        } catch (HttpProtocolException e) {
            fail(CallFailure.MALFORMED_RESPONSE, e.getMessage());
        } catch (IOException e) {
            onConnectionLost(String.valueOf(e.getMessage()));
        }
    }

    /**
     * Reads and processes at most one buffer of input.
     *
     * @return whether any input arrived
     * @throws IOException if the connection is lost
     * @throws HttpProtocolException if the response is malformed or exceeds a limit
     */
    private boolean readOnce() throws IOException, HttpProtocolException {
        int bytesRead = readInput();
        if (closed) {
            return false;
        }
        if (bytesRead < 0) {
            onEndOfInput();
            return false;
        }
        if (call == null) {
            if (bytesRead > 0) {
                closeNow();
            } else {
                releaseInput();
            }
            return false;
        }
        input.flip();
        parse();
        keepUnconsumedUnlessPaused();
        return bytesRead > 0;
    }

    private void keepUnconsumedUnlessPaused() {
        if (!paused) {
            keepUnconsumed();
        }
    }

    private void parse() throws HttpProtocolException {
        while (head == null) {
            ResponseHead parsed = parser.next(input);
            if (parsed == null) {
                return;
            }
            if (parsed.status() < 200) {
                if (++interimResponses > MAX_INTERIM_RESPONSES || parsed.status() == 101) {
                    throw new HttpProtocolException(
                            502,
                            "expected a final response after at most "
                                    + MAX_INTERIM_RESPONSES
                                    + " interim responses, and never status 101, but received"
                                    + " interim response "
                                    + interimResponses
                                    + " with status "
                                    + parsed.status());
                }
                continue;
            }
            head = parsed;
            Framing framing = Framing.of(parsed, call.head.method());
            body = BodyDecoder.ofResponse(framing, limits.http());
            boolean complete =
                    body.isComplete()
                            || (framing.kind() == Framing.Kind.FIXED
                                    && input.remaining() >= framing.length());
            ClientCall activeCall = call;
            activeCall.handler.onHead(parsed, framing, complete);
            if (closed || call != activeCall) {
                return;
            }
        }
        deliverBody();
    }

    private void deliverBody() throws HttpProtocolException {
        ClientCall activeCall = call;
        deadline.startTimeout(limits.stallTimeoutNs());
        while (!closed && call == activeCall && !body.isComplete()) {
            ByteBuffer piece = body.next(input);
            if (piece == null) {
                break;
            }
            if (!activeCall.handler.onBody(piece)) {
                if (!closed && call == activeCall) {
                    paused = true;
                    deadline.clear();
                    source.suspendReads();
                }
                return;
            }
        }
        if (!closed && call == activeCall && body.isComplete()) {
            completeCall();
        }
    }

    /** Resumes reading after the handler paused it; delivers the input in the buffer first. */
    void resume() {
        if (!paused || closed) {
            return;
        }
        paused = false;
        source.resumeReads();
        try {
            deliverBody();
            keepUnconsumedUnlessPaused();
            if (tls && !closed && !paused) {
                source.wakeupReads();
            }
        } catch (HttpProtocolException e) {
            fail(CallFailure.MALFORMED_RESPONSE, e.getMessage());
        }
    }

    // ---- Completion, failure and close

    private void completeCall() {
        ClientCall finishedCall = call;
        boolean reusable = head.isPersistent() && !input.hasRemaining() && writeQueue.isEmpty();
        // Read before the release, during which a waiting call may start on this connection and
        // replace the body decoder.
        Fields trailers = body.trailers();
        call = null;
        finishedCall.markEnded();
        deadline.clear();
        if (reusable) {
            releaseInput();
            pool.release(this);
        } else {
            closeNow();
        }
        finishedCall.handler.onComplete(trailers);
    }

    private void onEndOfInput() {
        if (call == null || body == null) {
            onConnectionLost(
                    "the endpoint closed the connection before a complete response head arrived");
            return;
        }
        try {
            body.onEndOfInput();
            completeAtClose();
        } catch (HttpProtocolException e) {
            onConnectionLost(e.getMessage());
        }
    }

    // The end of input completes a body that is delimited by the close of the connection.
    private void completeAtClose() {
        ClientCall finishedCall = call;
        call = null;
        finishedCall.markEnded();
        closeNow();
        finishedCall.handler.onComplete(body.trailers());
    }

    // If a reused connection was lost before a byte of the request was written, the call is
    // submitted again. Once a byte was written the endpoint may have executed the request, so the
    // call fails.
    private void onConnectionLost(String reason) {
        ClientCall affectedCall = call;
        if (affectedCall == null || writeQueue.writtenBytes() > writtenBeforeCall) {
            fail(CallFailure.CONNECTION_LOST, reason);
        } else if (callsStarted == 1) {
            fail(CallFailure.NOT_CONNECTED, reason);
        } else {
            call = null;
            closeNow();
            affectedCall.attach(null);
            pool.submit(affectedCall);
        }
    }

    @Override
    void onTimeout() {
        if (call != null) {
            fail(
                    CallFailure.CONNECTION_LOST,
                    "no more of the response body arrived within the stall timeout");
        } else {
            closeNow();
        }
    }

    private void fail(CallFailure failure, String reason) {
        ClientCall affectedCall = call;
        call = null;
        closeNow();
        if (affectedCall != null) {
            affectedCall.fail(failure, reason);
        }
    }

    /**
     * Called when the pool keeps the connection for reuse. Reading stays resumed, so that a close
     * by the endpoint is noticed.
     */
    void becomeIdle() {
        deadline.startTimeout(limits.idleTimeoutNs());
        source.resumeReads();
    }

    /** Closes the connection at once; the call that it carries fails. */
    void closeNow() {
        if (!closeOnce()) {
            return;
        }
        pool.onClosed(this);
        ClientCall affectedCall = call;
        call = null;
        if (affectedCall != null) {
            affectedCall.fail(CallFailure.CONNECTION_LOST, "the connection was closed");
        }
    }
}
