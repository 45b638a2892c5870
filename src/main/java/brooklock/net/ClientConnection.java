package brooklock.net;

import brooklock.http.BodyDecoder;
import brooklock.http.Fields;
import brooklock.http.Framing;
import brooklock.http.HttpProblem;
import brooklock.http.ResponseHead;
import brooklock.http.ResponseParser;
import brooklock.http.Writing;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.StreamConnection;

/** The client's side of one connection to a host; one call at a time. */
final class ClientConnection extends Wire {
    // Interim answers before a final one; a host that sends more is not sane.
    private static final int MOST_INTERIM = 8;

    private final HostPool pool;
    private final ClientLimits limits;
    private ResponseParser parser;
    private ClientCall call;
    private ResponseHead head;
    private BodyDecoder body;
    private long writtenBefore;
    private int interim;
    private int calls;
    private boolean held;

    ClientConnection(HostPool pool, IoLoop loop, StreamConnection connection, ClientLimits limits) {
        super(loop, connection);
        this.pool = pool;
        this.limits = limits;
        parser = new ResponseParser(limits.http());
        source.setReadListener(c -> readable());
        connection.getSinkChannel().setWriteListener(c -> writable());
        connection.setCloseListener(c -> broken("connection closed"));
    }

    /** Looks whether the host has closed an idle connection, or sent what nobody asked for. */
    boolean alive() {
        if (closed) {
            return false;
        }
        try {
            ByteBuffer b = loop.buffers.take();
            int n = source.read(b);
            loop.buffers.give(b);
            return n == 0;
        } catch (IOException e) {
            return false;
        }
    }

    void run(ClientCall next) {
        if (!next.taker.mayGo()) {
            next.failed(Failure.NOT_SENT, "called off before it was sent");
            pool.free(this);
            return;
        }
        call = next;
        calls++;
        next.runsOn(this);
        head = null;
        body = null;
        interim = 0;
        held = false;
        watchdog.off();
        writtenBefore = output.written();
        output.add(Writing.request(next.head));
        if (next.body.length > 0) {
            output.add(ByteBuffer.wrap(next.body));
        }
        source.resumeReads();
        writable();
    }

    private void writable() {
        if (closed) {
            return;
        }
        try {
            flushed();
        } catch (IOException e) {
            broken(String.valueOf(e.getMessage()));
        }
    }

    private void readable() {
        if (closed || held) {
            return;
        }
        try {
            // One buffer at a time is enough: readiness is told again while there is more. Not so
            // with TLS, where a
            // record may have been read from the socket and not been opened yet.
            while (readOnce() && tls && !closed && !held) {
                continue;
            }
        } catch (HttpProblem e) {
            fail(Failure.BAD_ANSWER, e.getMessage());
        } catch (IOException e) {
            broken(String.valueOf(e.getMessage()));
        }
    }

    // True if something came.
    private boolean readOnce() throws IOException, HttpProblem {
        int n = fill();
        if (closed) {
            return false;
        }
        if (n < 0) {
            inputEnded();
            return false;
        }
        if (call == null) {
            if (n > 0) {
                kill();
            } else {
                giveBuffer();
            }
            return false;
        }
        in.flip();
        parse();
        keepUnlessHeld();
        return n > 0;
    }

    private void keepUnlessHeld() {
        if (!held) {
            keepRest();
        }
    }

    private void parse() throws HttpProblem {
        while (head == null) {
            ResponseHead h = parser.next(in);
            if (h == null) {
                return;
            }
            if (h.status() < 200) {
                if (++interim > MOST_INTERIM || h.status() == 101) {
                    throw new HttpProblem(
                            502, "interim answers without end, or a switch nobody asked for");
                }
                continue;
            }
            head = h;
            Framing framing = Framing.of(h, call.head.method());
            body = BodyDecoder.ofResponse(framing, limits.http());
            boolean whole =
                    body.done()
                            || framing.kind() == Framing.Kind.FIXED
                                    && in.remaining() >= framing.length();
            ClientCall mine = call;
            mine.taker.head(h, framing, whole);
            if (closed || call != mine) {
                return;
            }
        }
        pump();
    }

    private void pump() throws HttpProblem {
        ClientCall mine = call;
        watchdog.in(limits.stallNs());
        while (!closed && call == mine && !body.done()) {
            ByteBuffer piece = body.next(in);
            if (piece == null) {
                break;
            }
            if (!mine.taker.data(piece)) {
                if (!closed && call == mine) {
                    held = true;
                    watchdog.off();
                    source.suspendReads();
                }
                return;
            }
        }
        if (!closed && call == mine && body.done()) {
            finish();
        }
    }

    void resume() {
        if (!held || closed) {
            return;
        }
        held = false;
        source.resumeReads();
        try {
            pump();
            keepUnlessHeld();
            if (tls && !closed && !held) {
                source.wakeupReads();
            }
        } catch (HttpProblem e) {
            fail(Failure.BAD_ANSWER, e.getMessage());
        }
    }

    private void finish() {
        ClientCall mine = call;
        boolean keep = head.keepsAlive() && !in.hasRemaining() && output.empty();
        // Read first: a call that waits in line begins on this connection as soon as it is free.
        Fields trailers = body.trailers();
        call = null;
        mine.done();
        watchdog.off();
        if (keep) {
            giveBuffer();
            pool.free(this);
        } else {
            kill();
        }
        mine.taker.end(trailers);
    }

    private void inputEnded() {
        if (call != null && body != null) {
            try {
                body.ended();
                finish0();
                return;
            } catch (HttpProblem e) {
                broken(e.getMessage());
                return;
            }
        }
        broken("closed by the host");
    }

    // A body that lasts until the connection is closed is whole now.
    private void finish0() {
        ClientCall mine = call;
        call = null;
        mine.done();
        kill();
        mine.taker.end(body.trailers());
    }

    // A kept connection that turns out closed before a byte was written is no attempt: another one
    // is used. Once a
    // byte was written the host may have run the request, whatever it had meant to do with the
    // connection.
    private void broken(String why) {
        ClientCall mine = call;
        if (mine == null || output.written() > writtenBefore) {
            fail(Failure.BROKEN, why);
        } else if (calls == 1) {
            fail(Failure.NOT_CONNECTED, why);
        } else {
            call = null;
            kill();
            mine.runsOn(null);
            pool.begin(mine);
        }
    }

    @Override
    void late() {
        if (call != null) {
            fail(Failure.BROKEN, "the host stopped in the middle of its answer");
        } else {
            kill();
        }
    }

    private void fail(Failure failure, String why) {
        ClientCall mine = call;
        call = null;
        kill();
        if (mine != null) {
            mine.failed(failure, why);
        }
    }

    void idle() {
        watchdog.in(limits.idleNs());
        source.resumeReads();
    }

    void kill() {
        if (!end()) {
            return;
        }
        pool.gone(this);
        ClientCall mine = call;
        call = null;
        if (mine != null) {
            mine.failed(Failure.BROKEN, "connection closed");
        }
    }
}
