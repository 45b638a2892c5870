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

/** One request on a connection and its answer. Used only on the connection's I/O thread. */
public final class HttpExchange {
    private static final byte[] NO_BYTES = new byte[0];

    private final HttpServerConnection connection;
    private final RequestHead head;
    private final boolean hasBody;
    private ByteArrayOutputStream requestBody;
    private Consumer<byte[]> bodyConsumer;
    private Runnable clientGoneAction;
    private Runnable writableAction;
    private boolean responseStarted;
    private boolean ended;
    private boolean chunked;
    private boolean noResponseBody;
    private boolean keepAlive;
    private boolean responseEnding;
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

    /** The I/O thread all of this happens on. */
    public IoLoop loop() {
        return connection.loop;
    }

    /** The client's address. */
    public InetSocketAddress peerAddress() {
        return connection.peerAddress();
    }

    /** The client's certificates, its own first; null where it showed none. */
    public X509Certificate[] certificates() {
        return connection.certificates();
    }

    /** Whether a body follows the head. */
    public boolean hasBody() {
        return hasBody;
    }

    /** Called once if the client leaves before its answer has gone out whole. */
    public void onClientGone(Runnable action) {
        clientGoneAction = action;
    }

    // ---- The request's body

    /**
     * Asks for the whole body, which the listener's limits bound; called at once where there is
     * none.
     */
    public void readBody(Consumer<byte[]> consumer) {
        if (!hasBody) {
            consumer.accept(NO_BYTES);
            return;
        }
        bodyConsumer = consumer;
        requestBody = new ByteArrayOutputStream();
        if (head.expectsContinue()) {
            connection.sendContinue();
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

    // ---- The answer

    boolean isResponseStarted() {
        return responseStarted;
    }

    /** Whether the exchange has ended, by an answer or by the client's leaving. */
    public boolean isEnded() {
        return ended;
    }

    /** Sends a whole answer of our own. */
    public void send(int status, Fields fields, byte[] content) {
        startResponse(new ResponseHead(status, fields), content.length);
        if (content.length > 0) {
            writeBody(ByteBuffer.wrap(content));
        }
        endResponse();
    }

    /**
     * Begins the answer. Fields about the connection and the framing are set here; of those given,
     * any are replaced.
     *
     * @param length bytes of the body, or -1 where that is not known
     * @return false where the socket is full already
     */
    public boolean startResponse(ResponseHead response, long length) {
        if (responseStarted || ended) {
            return true;
        }
        responseStarted = true;
        Fields fields = response.fields();
        fields.remove("Transfer-Encoding").remove("Connection");
        noResponseBody =
                head.method().equals("HEAD")
                        || response.status() == 204
                        || response.status() == 304;
        chunked = length < 0 && head.minorVersion() >= 1 && !noResponseBody;
        remainingBytes = noResponseBody ? 0 : length < 0 ? Long.MAX_VALUE : length;
        keepAlive =
                head.isPersistent()
                        && connection.isReusable()
                        && (length >= 0 || chunked || noResponseBody)
                        && (!hasBody || bodyConsumer != null && requestBody == null);
        if (chunked) {
            fields.remove("Content-Length").add("Transfer-Encoding", "chunked");
        } else if (length >= 0 && response.status() != 204 && response.status() != 304) {
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
     * Sends a piece of the body, which must be left alone until all is written.
     *
     * @return true if the socket took it; else the action given to {@link #onWritable} is run when
     *     it has
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
        remainingBytes -= remainingBytes == Long.MAX_VALUE ? 0 : piece.remaining();
        return connection.write(piece);
    }

    /** What to do when the socket has taken all it was given, after a call that returned false. */
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

    /** Ends the body. One that is short of its stated length is broken off instead. */
    public void endResponse() {
        if (ended || responseEnding) {
            return;
        }
        if (!noResponseBody && remainingBytes > 0 && remainingBytes != Long.MAX_VALUE) {
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
     * Breaks the answer off so that the client sees it: no last chunk, a short body, a reset
     * connection.
     */
    public void abort() {
        if (!ended) {
            ended = true;
            connection.abort();
        }
    }

    void clientGone() {
        if (!ended) {
            ended = true;
            if (clientGoneAction != null) {
                clientGoneAction.run();
            }
        }
    }
}
