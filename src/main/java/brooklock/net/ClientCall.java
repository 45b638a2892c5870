package brooklock.net;

import brooklock.http.RequestHead;
import org.xnio.XnioExecutor;

/**
 * One request that an {@link HttpClient} sends to an endpoint. The call waits for a connection, is
 * sent on it, and ends with {@link ResponseHandler#onComplete}, {@link ResponseHandler#onFailure}
 * or {@link #cancel}. Not thread-safe: all methods must be called on the client's I/O thread.
 */
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

    /** Called when the call starts to wait for a connection; {@code timeout} ends the wait. */
    void onQueued(XnioExecutor.Key timeout) {
        waitTimeout = timeout;
    }

    /** Called when the call stops waiting for a connection; cancels the wait's timeout. */
    void onDequeued() {
        if (waitTimeout != null) {
            waitTimeout.remove();
            waitTimeout = null;
        }
    }

    /** Sets the connection that carries the call; null if it has to wait for another. */
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

    /**
     * Resumes reading after {@link ResponseHandler#onBody} returned false. The handler may be
     * called before this method returns. The piece that was last passed to the handler is no longer
     * valid.
     */
    public void resume() {
        if (!ended && connection != null) {
            connection.resume();
        }
    }

    /**
     * Cancels the call; the handler is not called any more. The connection that carries the call is
     * closed, since it could be reused only after the rest of the response had been read. Does
     * nothing if the call has ended.
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
