package brooklock.net;

import brooklock.http.RequestHead;
import org.xnio.XnioExecutor;

/** One request to an endpoint and its progress. Used on the client's I/O thread only. */
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

    /** The call waits for a connection; {@code timeout} ends the wait. */
    void onQueued(XnioExecutor.Key timeout) {
        waitTimeout = timeout;
    }

    /** The call no longer waits for a connection. */
    void onDequeued() {
        if (waitTimeout != null) {
            waitTimeout.remove();
            waitTimeout = null;
        }
    }

    /** The connection that carries the call now; null while there is none. */
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

    /** Resumes reading after {@link ResponseHandler#onBody} returned false. */
    public void resume() {
        if (!ended && connection != null) {
            connection.resume();
        }
    }

    /**
     * Cancels the call. Its connection is closed, since the rest of the response would have to be
     * read before the connection could be reused; the handler is not called any more.
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
