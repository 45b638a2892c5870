package brooklock.http;

/**
 * The bounds of one message.
 *
 * @param startLine bytes of the request or status line; above it 414 for a request, 502 for an
 *     answer
 * @param field bytes of one field line; above it 431
 * @param head bytes of all field lines together; above it 431
 * @param fields field lines in a head, or in a trailer section; above it 431
 * @param body bytes of a body once unchunked; above it 413
 */
public record HttpLimits(
        int maxStartLineBytes,
        int maxFieldBytes,
        int maxHeadBytes,
        int maxFieldCount,
        long maxBodyBytes) {
    /** Room for signed URLs and cookies, too small to be worth an attack. */
    public static final HttpLimits STANDARD = new HttpLimits(8192, 8192, 32768, 100, 1L << 40);

    /** The same with another bound on bodies, bytes. */
    public HttpLimits withMaxBodyBytes(long bytes) {
        return new HttpLimits(maxStartLineBytes, maxFieldBytes, maxHeadBytes, maxFieldCount, bytes);
    }
}
