package brooklock.http;

/**
 * A message that cannot be taken, with the status that tells its sender why (RFC 9110, section 15).
 */
public final class HttpProtocolException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * The status to answer with before the connection is closed: 400, 413, 414, 431, 501, 502 or
     * 505.
     */
    public final int status;

    /** A problem with its status and the reason in plain words. */
    public HttpProtocolException(int status, String reason) {
        super(reason, null, false, false);
        this.status = status;
    }
}
