package brooklock.net;

import brooklock.http.RequestHead;
import org.xnio.XnioExecutor;

/** One request to a host, and what became of it. Used only on its I/O thread. */
public final class ClientCall {
    final RequestHead head;
    final byte[] body;
    final AnswerTaker taker;
    private final HostPool pool;
    private XnioExecutor.Key place;
    private ClientConnection connection;
    private boolean over;
    private boolean cancelled;

    ClientCall(HostPool pool, RequestHead head, byte[] body, AnswerTaker taker) {
        this.pool = pool;
        this.head = head;
        this.body = body;
        this.taker = taker;
    }

    void waitsUntil(XnioExecutor.Key key) {
        place = key;
    }

    void leftLine() {
        if (place != null) {
            place.remove();
            place = null;
        }
    }

    void runsOn(ClientConnection c) {
        connection = c;
    }

    void done() {
        over = true;
        connection = null;
    }

    void failed(Failure failure, String why) {
        if (!over) {
            leftLine();
            done();
            if (!cancelled) {
                taker.failed(failure, why);
            }
        }
    }

    /** Goes on reading after a piece that was not taken at once. */
    public void resume() {
        if (!over && connection != null) {
            connection.resume();
        }
    }

    /**
     * Calls the request off: its connection is closed, not used again, and the taker hears nothing
     * more.
     */
    public void cancel() {
        if (over || cancelled) {
            return;
        }
        cancelled = true;
        pool.leaveLine(this);
        leftLine();
        ClientConnection c = connection;
        if (c != null) {
            done();
            c.kill();
        }
    }
}
