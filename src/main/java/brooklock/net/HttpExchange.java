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
 * One request that a server has received, and the response to it. Used on the connection's I/O
 * thread only.
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
    private boolean responseEnding;
    private boolean ended;
    private boolean chunked;
    private boolean noResponseBody;
    private boolean keepAlive;

    /** Bytes of the response body still to come, or {@link #UNKNOWN_LENGTH}. */
    private long remainingBytes;

    HttpExchange(HttpServerConnection connection, RequestHead head, boolean hasBody) {
        this.connection = connection;
        this.head = head;
        this.hasBody = hasBody;
    }

    /** The request's head. */
    public RequestHead head() {
        return head;
    }

    /** The I/O thread of the exchange. */
    public IoLoop loop() {
        return connection.loop;
    }

    /** The client's address. */
    public InetSocketAddress peerAddress() {
        return connection.peerAddress();
    }

    /** The client's certificate chain, its own first; null where it sent none. */
    public X509Certificate[] certificates() {
        return connection.certificates();
    }

    /** Whether a body follows the head. */
    public boolean hasBody() {
        return hasBody;
    }

    /** Sets what is called, once, if the client leaves before its response has been written. */
    public void onClientGone(Runnable action) {
        clientGoneAction = action;
    }

    // ---- The request's body

    /**
     * Reads the whole body, which the listener's limits bound.
     *
     * @param consumer receives it; called before this returns where there is no body
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

    // ---- The response

    boolean isResponseStarted() {
        return responseStarted;
    }

    /** Whether the exchange has ended: by its response, or because the client has left. */
    public boolean isEnded() {
        return ended;
    }

    /** Sends a whole response. */
    public void send(int status, Fields fields, byte[] content) {
        startResponse(new ResponseHead(status, fields), content.length);
        if (content.length > 0) {
            writeBody(ByteBuffer.wrap(content));
        }
        endResponse();
    }

    /**
     * Starts the response. The fields about framing and the connection are set here, in place of
     * any that are given; {@code response} is changed by that.
     *
     * @param length bytes of the body, or -1 where that is not known
     * @return false where the socket is full already
     */
    public boolean startResponse(ResponseHead response, long length) {
        if (responseStarted || ended) {
            return true;
        }
        responseStarted = true;
        boolean statusWithoutBody = response.status() == 204 || response.status() == 304;
        noResponseBody = head.method().equals("HEAD") || statusWithoutBody;
        chunked = length < 0 && head.minorVersion() >= 1 && !noResponseBody;
        remainingBytes = noResponseBody ? 0 : length < 0 ? UNKNOWN_LENGTH : length;
        keepAlive =
                head.isPersistent()
                        && connection.isReusable()
                        && (length >= 0 || chunked || noResponseBody)
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
     * Writes a piece of the body.
     *
     * @param piece must be left alone until all is written
     * @return true if the socket took it; else the action given to {@link #onWritable} is called
     *     once it has
     * @throws IllegalStateException if the body gets longer than its stated length
     */
    public boolean writeBody(ByteBuffer piece) {
        if (ended || noResponseBody) {
            piece.position(piece.limit());
            return true;
        }
        if (piece.remaining() > remainingBytes) {
            throw new IllegalStateException("body longer than its stated length");
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

    /** Sets what is called when the socket has taken all, after a call that returned false. */
    public void onWritable(Runnable action) {
        writableAction = action;
    }

    void socketWritable() {
        if (responseEnding) {
            finish();
        } else if (writableAction != null) {
            writableAction.run();
        }
    }

    /** Ends the body. A body that is shorter than its stated length is aborted instead. */
    public void endResponse() {
        if (ended || responseEnding) {
            return;
        }
        if (!noResponseBody && remainingBytes > 0 && remainingBytes != UNKNOWN_LENGTH) {
            abort();
            return;
        }
        responseEnding = true;
        boolean written = chunked ? connection.write(HttpEncoder.lastChunk()) : connection.write();
        if (written && !ended) {
            finish();
        }
    }

    private void finish() {
        if (!ended) {
            ended = true;
            connection.responseComplete(keepAlive);
        }
    }

    /**
     * Ends the exchange so that the client sees an incomplete response: no last chunk, a short
     * body, a connection reset.
     */
    public void abort() {
        if (!ended) {
            ended = true;
            connection.abort();
        }
    }

    /** The client has left, or its request cannot be completed. */
    void clientGone() {
        if (!ended) {
            ended = true;
            if (clientGoneAction != null) {
                clientGoneAction.run();
            }
        }
    }
}
