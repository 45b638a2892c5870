package brooklock.net;

/** Describes how a {@link ClientCall} failed, and whether the endpoint can have executed it. */
public enum CallFailure {
    /** No connection was established in time, so the endpoint received no byte of the request. */
    NOT_CONNECTED(true),
    /** {@link ResponseHandler#shouldSend} returned false, so no byte of the request was written. */
    NOT_SENT(true),
    /**
     * The connection was lost after a part of the request was written, which may have been
     * executed.
     */
    CONNECTION_LOST(false),
    /** The response is not valid HTTP or exceeds a limit; the request may have been executed. */
    MALFORMED_RESPONSE(false);

    /** Whether this failure proves that the endpoint has not executed the request. */
    public final boolean provesNotExecuted;

    CallFailure(boolean provesNotExecuted) {
        this.provesNotExecuted = provesNotExecuted;
    }
}
