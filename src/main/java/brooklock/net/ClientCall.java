package brooklock.net;

import brooklock.http.RequestHead;
import org.xnio.XnioExecutor;

/** One request to a host, and what became of it. Used only on its I/O thread. */
public final class ClientCall {
    final RequestHead head;
    final byte[] body;
    final ResponseHandler handler;
    private final HttpConnectionPool pool;
    private XnioExecutor.Key waitTimeout;
    private HttpClientConnection connection;
    private boolean ended;
    private boolean cancelled;

    ClientCall(HttpConnectionPool pool, RequestHead head, byte[] body, ResponseHandler handler) {
        this.pool = pool;
        this.head = head;
        this.body = body;
        this.handler = handler;
    }

    void onQueued(XnioExecutor.Key key) {
        waitTimeout = key;
    }

    void onDequeued() {
        if (waitTimeout != null) {
            waitTimeout.remove();
            waitTimeout = null;
        }
    }

    void attach(HttpClientConnection assigned) {
        connection = assigned;
    }

    void markEnded() {
        ended = true;
        connection = null;
    }

    void fail(CallFailure failure, String reason) {
        if (!ended) {
            onDequeued();
            markEnded();
            if (!cancelled) {
                handler.onFailure(failure, reason);
            }
        }
    }

    /** Goes on reading after a piece that was not taken at once. */
    public void resume() {
        if (!ended && connection != null) {
            connection.resume();
        }
    }

    /**
     * Calls the request off: its connection is closed, not used again, and the taker hears nothing
     * more.
     */
    public void cancel() {
        if (ended || cancelled) {
            return;
        }
        cancelled = true;
        pool.removeWaiting(this);
        onDequeued();
        HttpClientConnection active = connection;
        if (active != null) {
            markEnded();
            active.closeNow();
        }
    }
}
