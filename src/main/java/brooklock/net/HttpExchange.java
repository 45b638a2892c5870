package brooklock.net;

import brooklock.http.Fields;
import brooklock.http.HttpEncoder;
import brooklock.http.RequestHead;
import brooklock.http.ResponseHead;
import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.security.cert.X509Certificate;
import java.util.function.Consumer;

/**
 * One request that a server has received, and the response to it.
 *
 * <p>Not thread-safe: all methods must be called on the connection's I/O thread ({@link #loop}),
 * and all callbacks are called on it. The {@link RequestHandler} first reads the body with {@link
 * #readBody} if it needs it. It then either calls {@link #send}, or {@link #startResponse}, any
 * number of {@link #writeBody} and {@link #endResponse}. It may call {@link #abort} at any time.
 * Once the exchange has ended, the methods that write or abort the response have no effect.
 */
public final class HttpExchange {
    private static final byte[] NO_BYTES = new byte[0];
    private static final long UNKNOWN_LENGTH = Long.MAX_VALUE;

    private final HttpServerConnection connection;
    private final RequestHead head;
    private final boolean hasBody;
    private ByteArrayOutputStream requestBody;
    private Consumer<byte[]> bodyConsumer;
    private Runnable clientGoneAction;
    private Runnable writableAction;
    private boolean responseStarted;
    private boolean responseEndRequested;
    private boolean ended;
    private boolean chunked;
    private boolean responseBodyOmitted;
    private boolean keepAlive;

    /** Number of body bytes that remain to be written, or {@link #UNKNOWN_LENGTH}. */
    private long remainingBytes;

    HttpExchange(HttpServerConnection connection, RequestHead head, boolean hasBody) {
        this.connection = connection;
        this.head = head;
        this.hasBody = hasBody;
    }

    /** Returns the request's head. */
    public RequestHead head() {
        return head;
    }

    /** Returns the I/O thread of the exchange. */
    public IoLoop loop() {
        return connection.loop;
    }

    /** Returns the client's address. */
    public InetSocketAddress peerAddress() {
        return connection.peerAddress();
    }

    /**
     * Returns the client's certificate chain, starting with its own certificate; null if the client
     * sent none or does not use TLS.
     */
    public X509Certificate[] certificates() {
        return connection.certificates();
    }

    /** Returns whether the request has a body. */
    public boolean hasBody() {
        return hasBody;
    }

    /**
     * Sets the action that is called, at most once, if the connection is lost or the request cannot
     * be completed before the response has been written.
     *
     * @param action the action, which replaces the previous one; null for none
     */
    public void onClientGone(Runnable action) {
        clientGoneAction = action;
    }

    // ---- Request body

    /**
     * Reads the whole body, whose size is bounded by the listener's limits. Must be called at most
     * once.
     *
     * @param consumer receives the body; if there is no body, it is called with an empty array
     *     before this method returns
     */
    public void readBody(Consumer<byte[]> consumer) {
        if (!hasBody) {
            consumer.accept(NO_BYTES);
            return;
        }
        bodyConsumer = consumer;
        requestBody = new ByteArrayOutputStream();
        if (head.expectsContinue()) {
            connection.write(HttpEncoder.encodeResponse(new ResponseHead(100, new Fields())));
        }
        connection.resumeReading();
    }

    boolean isReadingBody() {
        return requestBody != null;
    }

    void onBodyPiece(ByteBuffer piece) {
        byte[] bytes = new byte[piece.remaining()];
        piece.get(bytes);
        requestBody.writeBytes(bytes);
    }

    void onBodyComplete() {
        byte[] complete = requestBody.toByteArray();
        requestBody = null;
        bodyConsumer.accept(complete);
    }

    // ---- Response

    boolean isResponseStarted() {
        return responseStarted;
    }

    /**
     * Returns whether the exchange has ended: the response has been written or aborted, or the
     * client has disconnected.
     */
    public boolean isEnded() {
        return ended;
    }

    /** Sends a complete response with the given status, fields and body. */
    public void send(int status, Fields fields, byte[] content) {
        startResponse(new ResponseHead(status, fields), content.length);
        if (content.length > 0) {
            writeBody(ByteBuffer.wrap(content));
        }
        endResponse();
    }

    /**
     * Starts the response. Sets the framing and connection fields in {@code response}, replacing
     * any that it contains. Does nothing if the response has been started already.
     *
     * @param response the response's head, which this method modifies
     * @param length the length of the body in bytes, or -1 if it is not known
     * @return true if the socket accepted all output; false if the caller should wait for the
     *     {@link #onWritable} action before it writes more
     */
    public boolean startResponse(ResponseHead response, long length) {
        if (responseStarted || ended) {
            return true;
        }
        responseStarted = true;
        boolean statusWithoutBody = response.status() == 204 || response.status() == 304;
        responseBodyOmitted = head.method().equals("HEAD") || statusWithoutBody;
        chunked = length < 0 && head.minorVersion() >= 1 && !responseBodyOmitted;
        remainingBytes = responseBodyOmitted ? 0 : length < 0 ? UNKNOWN_LENGTH : length;
        keepAlive =
                head.isPersistent()
                        && connection.isReusable()
                        && (length >= 0 || chunked || responseBodyOmitted)
                        && (!hasBody || (bodyConsumer != null && requestBody == null));
        Fields fields = response.fields();
        fields.remove("Transfer-Encoding").remove("Connection");
        if (chunked) {
            fields.remove("Content-Length").add("Transfer-Encoding", "chunked");
        } else if (length >= 0 && !statusWithoutBody) {
            fields.set("Content-Length", Long.toString(length));
        }
        if (!keepAlive) {
            fields.add("Connection", "close");
        } else if (head.minorVersion() == 0) {
            fields.add("Connection", "keep-alive");
        }
        return connection.write(HttpEncoder.encodeResponse(response));
    }

    /**
     * Writes a piece of the body. The piece is discarded if the response has no body or the
     * exchange has ended.
     *
     * @param piece the bytes to write, which must not be modified until they are written
     * @return true if the socket accepted the piece; false if it is queued, in which case the
     *     {@link #onWritable} action is called once it has been written
     * @throws IllegalStateException if the body becomes longer than the length given to {@link
     *     #startResponse}
     */
    public boolean writeBody(ByteBuffer piece) {
        if (ended || responseBodyOmitted) {
            piece.position(piece.limit());
            return true;
        }
        if (piece.remaining() > remainingBytes) {
            throw new IllegalStateException(
                    "expected at most "
                            + remainingBytes
                            + " more bytes of the response body but received "
                            + piece.remaining());
        }
        if (!piece.hasRemaining()) {
            return true;
        }
        if (chunked) {
            return connection.write(
                    HttpEncoder.chunkHeader(piece.remaining()), piece, HttpEncoder.chunkEnd());
        }
        remainingBytes -= remainingBytes == UNKNOWN_LENGTH ? 0 : piece.remaining();
        return connection.write(piece);
    }

    /** Sets the action that is called once queued output has been written; null for none. */
    public void onWritable(Runnable action) {
        writableAction = action;
    }

    void onSocketWritable() {
        if (responseEndRequested) {
            finish();
        } else if (writableAction != null) {
            writableAction.run();
        }
    }

    /**
     * Ends the response. Aborts it if the body is shorter than the length given to {@link
     * #startResponse}.
     */
    public void endResponse() {
        if (ended || responseEndRequested) {
            return;
        }
        if (!responseBodyOmitted && remainingBytes > 0 && remainingBytes != UNKNOWN_LENGTH) {
            abort();
            return;
        }
        responseEndRequested = true;
        boolean written = chunked ? connection.write(HttpEncoder.lastChunk()) : connection.write();
        if (written && !ended) {
            finish();
        }
    }

    private void finish() {
        if (!ended) {
            ended = true;
            connection.onResponseComplete(keepAlive);
        }
    }

    /**
     * Aborts the exchange by resetting the connection, so that the client does not mistake a
     * truncated response for a complete one.
     */
    public void abort() {
        if (!ended) {
            ended = true;
            connection.abort();
        }
    }

    /** Called when the client has disconnected or its request cannot be completed. */
    void onClientDisconnected() {
        if (!ended) {
            ended = true;
            if (clientGoneAction != null) {
                clientGoneAction.run();
            }
        }
    }
}
