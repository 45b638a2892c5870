package brooklock.http;

/** The status codes of {@link HttpProtocolException} (RFC 9110, section 15). */
final class HttpStatus {
    static final int BAD_REQUEST = 400;
    static final int CONTENT_TOO_LARGE = 413;
    static final int URI_TOO_LONG = 414;
    static final int FIELDS_TOO_LARGE = 431;
    static final int NOT_IMPLEMENTED = 501;
    static final int BAD_GATEWAY = 502;
    static final int VERSION_NOT_SUPPORTED = 505;

    private HttpStatus() {}
}
