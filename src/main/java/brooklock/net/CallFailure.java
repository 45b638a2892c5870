package brooklock.net;

/** How a call to an endpoint failed. */
public enum CallFailure {
    /** No connection was established in time: the endpoint has seen nothing of the request. */
    NOT_CONNECTED(true),
    /** Given up by {@link ResponseHandler#shouldSend} before a byte was written. */
    NOT_SENT(true),
    /** The connection broke after some of the request was written; it may have been executed. */
    CONNECTION_LOST(false),
    /** The response is not HTTP, or exceeds a limit; the request may have been executed. */
    MALFORMED_RESPONSE(false);

    /** Whether the endpoint cannot have executed the request. */
    public final boolean provesNotExecuted;

    CallFailure(boolean provesNotExecuted) {
        this.provesNotExecuted = provesNotExecuted;
    }
}
