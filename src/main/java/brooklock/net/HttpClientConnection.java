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

/** The client's side of one connection to an endpoint; it carries one call at a time. */
final class HttpClientConnection extends Connection {
    /**
     * Interim responses before a final one; without a bound an endpoint could hold a call for ever.
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

    /** The handler has asked to stop reading, and still uses the input buffer. */
    private boolean paused;

    HttpClientConnection(
            HttpConnectionPool pool, IoLoop loop, StreamConnection channel, ClientLimits limits) {
        super(loop, channel);
        this.pool = pool;
        this.limits = limits;
        parser = new ResponseParser(limits.http());
        listenForReadiness();
        channel.setCloseListener(gone -> onConnectionLost("connection closed"));
    }

    /**
     * Whether an idle connection is usable: neither closed by the endpoint nor sent unasked data.
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

    void start(ClientCall newCall) {
        if (!newCall.handler.shouldSend()) {
            newCall.fail(CallFailure.NOT_SENT, "called off before it was sent");
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
            // One buffer at a time is enough, since the socket stays ready while there is more. Not
            // so with TLS, where a record may have been read from the socket but not decrypted.
            boolean more = readOnce();
            while (more && tls && !closed && !paused) {
                more = readOnce();
            }
        } catch (HttpProtocolException e) {
            fail(CallFailure.MALFORMED_RESPONSE, e.getMessage());
        } catch (IOException e) {
            onConnectionLost(String.valueOf(e.getMessage()));
        }
    }

    /**
     * Reads and processes one buffer.
     *
     * @return whether any input arrived
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
        keepRestUnlessPaused();
        return bytesRead > 0;
    }

    private void keepRestUnlessPaused() {
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
                            502, "interim answers without end, or a switch nobody asked for");
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

    /** The handler can take more of the body. */
    void resume() {
        if (!paused || closed) {
            return;
        }
        paused = false;
        source.resumeReads();
        try {
            deliverBody();
            keepRestUnlessPaused();
            if (tls && !closed && !paused) {
                source.wakeupReads();
            }
        } catch (HttpProtocolException e) {
            fail(CallFailure.MALFORMED_RESPONSE, e.getMessage());
        }
    }

    // ---- Ends

    private void completeCall() {
        ClientCall finishedCall = call;
        boolean reusable = head.isPersistent() && !input.hasRemaining() && writeQueue.isEmpty();
        // Read first: a waiting call starts on this connection as soon as it is released.
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
            onConnectionLost("closed by the endpoint");
            return;
        }
        try {
            body.onEndOfInput();
            completeAtClose();
        } catch (HttpProtocolException e) {
            onConnectionLost(e.getMessage());
        }
    }

    // A body that lasts until the connection is closed is complete now.
    private void completeAtClose() {
        ClientCall finishedCall = call;
        call = null;
        finishedCall.markEnded();
        closeNow();
        finishedCall.handler.onComplete(body.trailers());
    }

    // A reused connection that turns out closed before a byte was written is no attempt: the call
    // moves to another. Once a byte was written the endpoint may have executed the request.
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
            fail(CallFailure.CONNECTION_LOST, "the endpoint stopped in the middle of its response");
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

    /** The connection waits in the pool; reading shows when the endpoint closes it. */
    void becomeIdle() {
        deadline.startTimeout(limits.idleTimeoutNs());
        source.resumeReads();
    }

    /** Closes the connection at once; a call that it carries fails. */
    void closeNow() {
        if (!closeOnce()) {
            return;
        }
        pool.onClosed(this);
        ClientCall affectedCall = call;
        call = null;
        if (affectedCall != null) {
            affectedCall.fail(CallFailure.CONNECTION_LOST, "connection closed");
        }
    }
}
