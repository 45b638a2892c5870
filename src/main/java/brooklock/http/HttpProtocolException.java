package brooklock.http;

/**
 * Thrown when a received message is malformed, ambiguous, too large or not supported. It has no
 * stack trace: peers can cause it at will, and filling in the trace would cost more than parsing
 * the message.
 */
public final class HttpProtocolException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * The status code of the error (RFC 9110, section 15). A request is answered with 400, 413,
     * 414, 431, 501 or 505 before the connection is closed; an error in a response has 502.
     */
    public final int status;

    /**
     * Creates an exception.
     *
     * @param status the status code of the error
     * @param reason a description of the error that quotes nothing from the message; for a request
     *     it is sent to the client as the body of the error response
     */
    public HttpProtocolException(int status, String reason) {
        this(status, reason, null);
    }

    HttpProtocolException(int status, String reason, HttpProtocolException cause) {
        super(reason, cause, false, false);
        this.status = status;
    }
}
