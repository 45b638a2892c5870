package brooklock.http;

/**
 * A message that cannot be processed. It carries no stack trace: peers cause it at will, and the
 * trace would cost more than the parse.
 */
public final class HttpProtocolException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * The status that tells the sender why (RFC 9110, section 15), sent before the connection is
     * closed: 400, 413, 414, 431, 501 or 505 for a request, 502 for a response.
     */
    public final int status;

    /**
     * Creates an exception.
     *
     * @param reason plain words, without content of the message
     */
    public HttpProtocolException(int status, String reason) {
        this(status, reason, null);
    }

    HttpProtocolException(int status, String reason, HttpProtocolException cause) {
        super(reason, cause, false, false);
        this.status = status;
    }
}
