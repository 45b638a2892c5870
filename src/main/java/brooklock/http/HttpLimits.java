package brooklock.http;

/**
 * The limits of one message. Exceeding one is an error with the status given here for a request,
 * with 502 for a response.
 *
 * @param maxStartLineBytes bytes of the request or status line; 414
 * @param maxFieldBytes bytes of one field line; 431
 * @param maxHeadBytes bytes of all field lines together; 431
 * @param maxFieldCount field lines of a head, or of a trailer section; 431
 * @param maxBodyBytes bytes of a body without its framing; 413
 */
public record HttpLimits(
        int maxStartLineBytes,
        int maxFieldBytes,
        int maxHeadBytes,
        int maxFieldCount,
        long maxBodyBytes) {
    /** Enough for signed URLs and cookies, too little to be worth an attack. */
    public static final HttpLimits STANDARD = new HttpLimits(8192, 8192, 32768, 100, 1L << 40);

    /** Returns these limits with another on bodies, bytes. */
    public HttpLimits withMaxBodyBytes(long bytes) {
        return new HttpLimits(maxStartLineBytes, maxFieldBytes, maxHeadBytes, maxFieldCount, bytes);
    }
}
