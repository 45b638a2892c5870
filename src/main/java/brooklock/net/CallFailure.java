package brooklock.net;

/** How a call to a host failed. */
public enum CallFailure {
    /** No connection could be had in time: the host has seen nothing of the request. */
    NOT_CONNECTED(true),
    /** Called off before a byte of it was written. */
    NOT_SENT(true),
    /** The connection broke after some of the request was written; it may have run. */
    CONNECTION_LOST(false),
    /** What came back is not HTTP, or breaks a bound; the request may have run. */
    MALFORMED_RESPONSE(false);

    /** Whether the host surely did not run the request. */
    public final boolean provesNotExecuted;

    CallFailure(boolean provesNotExecuted) {
        this.provesNotExecuted = provesNotExecuted;
    }
}
