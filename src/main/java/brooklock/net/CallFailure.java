package brooklock.net;

/** Describes how a {@link ClientCall} failed, and whether the endpoint can have executed it. */
public enum CallFailure {
    /** No connection was available for the request, so the endpoint received no byte of it. */
    NOT_CONNECTED(true),
    /** {@link ResponseHandler#shouldSend} returned false, so no byte of the request was written. */
    NOT_SENT(true),
    /** The connection was lost after writing began; the request may have been executed. */
    CONNECTION_LOST(false),
    /** The response is not valid HTTP or exceeds a limit; the request may have been executed. */
    MALFORMED_RESPONSE(false);

    /** Whether this failure proves that the endpoint has not executed the request. */
    public final boolean provesNotExecuted;

    CallFailure(boolean provesNotExecuted) {
        this.provesNotExecuted = provesNotExecuted;
    }
}
