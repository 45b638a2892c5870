package brooklock.net;

import brooklock.http.Fields;
import brooklock.http.RequestHead;
import brooklock.http.ResponseHead;
import brooklock.http.Writing;
import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.security.cert.X509Certificate;
import java.util.function.Consumer;

/** One request on a connection and its answer. Used only on the connection's I/O thread. */
public final class ServerExchange {
    private static final byte[] NOTHING = new byte[0];

    private final ServerConnection connection;
    private final RequestHead head;
    private final boolean hasBody;
    private ByteArrayOutputStream body;
    private Consumer<byte[]> bodyTaker;
    private Runnable onGone;
    private Runnable onWritable;
    private boolean answering;
    private boolean over;
    private boolean chunked;
    private boolean bodiless;
    private boolean keep;
    private boolean ending;
    private long left;

    ServerExchange(ServerConnection connection, RequestHead head, boolean hasBody) {
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
    public InetSocketAddress peer() {
        return connection.peer();
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
    public void onGone(Runnable action) {
        onGone = action;
    }

    // ---- The request's body

    /**
     * Asks for the whole body, which the listener's limits bound; called at once where there is
     * none.
     */
    public void body(Consumer<byte[]> taker) {
        if (!hasBody) {
            taker.accept(NOTHING);
            return;
        }
        bodyTaker = taker;
        body = new ByteArrayOutputStream();
        if (head.expectsContinue()) {
            connection.continues();
        }
        connection.resumeBody();
    }

    boolean wantsBody() {
        return body != null;
    }

    void bodyPiece(ByteBuffer piece) {
        byte[] some = new byte[piece.remaining()];
        piece.get(some);
        body.writeBytes(some);
    }

    void bodyEnd() {
        byte[] all = body.toByteArray();
        body = null;
        bodyTaker.accept(all);
    }

    // ---- The answer

    boolean answering() {
        return answering;
    }

    /** Whether the exchange has ended, by an answer or by the client's leaving. */
    public boolean over() {
        return over;
    }

    /** Sends a whole answer of our own. */
    public void send(int status, Fields fields, byte[] content) {
        start(new ResponseHead(status, fields), content.length);
        if (content.length > 0) {
            write(ByteBuffer.wrap(content));
        }
        end();
    }

    /**
     * Begins the answer. Fields about the connection and the framing are set here; of those given,
     * any are replaced.
     *
     * @param length bytes of the body, or -1 where that is not known
     * @return false where the socket is full already
     */
    public boolean start(ResponseHead answer, long length) {
        if (answering || over) {
            return true;
        }
        answering = true;
        Fields f = answer.fields();
        f.remove("Transfer-Encoding").remove("Connection");
        bodiless = head.method().equals("HEAD") || answer.status() == 204 || answer.status() == 304;
        chunked = length < 0 && head.minor() >= 1 && !bodiless;
        left = bodiless ? 0 : length < 0 ? Long.MAX_VALUE : length;
        keep =
                head.keepsAlive()
                        && connection.mayKeep()
                        && (length >= 0 || chunked || bodiless)
                        && (!hasBody || bodyTaker != null && body == null);
        if (chunked) {
            f.remove("Content-Length").add("Transfer-Encoding", "chunked");
        } else if (length >= 0 && answer.status() != 204 && answer.status() != 304) {
            f.set("Content-Length", Long.toString(length));
        }
        if (!keep) {
            f.add("Connection", "close");
        } else if (head.minor() == 0) {
            f.add("Connection", "keep-alive");
        }
        return connection.write(Writing.response(answer));
    }

    /**
     * Sends a piece of the body, which must be left alone until all is written.
     *
     * @return true if the socket took it; else the action given to {@link #onWritable} is run when
     *     it has
     */
    public boolean write(ByteBuffer piece) {
        if (over || bodiless) {
            piece.position(piece.limit());
            return true;
        }
        if (piece.remaining() > left) {
            throw new IllegalStateException("body longer than its stated length");
        }
        if (!piece.hasRemaining()) {
            return true;
        }
        if (chunked) {
            return connection.write(
                    Writing.chunkStart(piece.remaining()), piece, Writing.chunkEnd());
        }
        left -= left == Long.MAX_VALUE ? 0 : piece.remaining();
        return connection.write(piece);
    }

    /** What to do when the socket has taken all it was given, after a call that returned false. */
    public void onWritable(Runnable action) {
        onWritable = action;
    }

    void writable() {
        if (ending) {
            finish();
        } else if (onWritable != null) {
            onWritable.run();
        }
    }

    /** Ends the body. One that is short of its stated length is broken off instead. */
    public void end() {
        if (over || ending) {
            return;
        }
        if (!bodiless && left > 0 && left != Long.MAX_VALUE) {
            abort();
            return;
        }
        ending = true;
        boolean out = chunked ? connection.write(Writing.lastChunk()) : connection.write();
        if (out && !over) {
            finish();
        }
    }

    private void finish() {
        if (!over) {
            over = true;
            connection.finished(keep);
        }
    }

    /**
     * Breaks the answer off so that the client sees it: no last chunk, a short body, a reset
     * connection.
     */
    public void abort() {
        if (!over) {
            over = true;
            connection.abort();
        }
    }

    void lapse() {
        if (!over) {
            over = true;
            if (onGone != null) {
                onGone.run();
            }
        }
    }
}
