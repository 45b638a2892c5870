package brooklock.http;

/**
 * The size limits of one message. A message that exceeds a limit is rejected: a request with the
 * status code that is stated below for the limit, a response with 502. Immutable.
 *
 * @param maxStartLineBytes maximum size of the request line or status line, in bytes; 414
 * @param maxFieldBytes maximum size of one field line, in bytes; 431. It also limits a chunk's size
 *     line; 400
 * @param maxHeadBytes maximum total size of the field lines of a head or of a trailer section, in
 *     bytes; 431
 * @param maxFieldCount maximum number of field lines in a head or in a trailer section; 431
 * @param maxBodyBytes maximum size of a body without its framing, in bytes; 413
 */
public record HttpLimits(
        int maxStartLineBytes,
        int maxFieldBytes,
        int maxHeadBytes,
        int maxFieldCount,
        long maxBodyBytes) {
    /**
     * The default limits. They admit signed URLs and large cookies, but do not let a peer tie up
     * much memory with one head.
     */
    public static final HttpLimits STANDARD = new HttpLimits(8192, 8192, 32768, 100, 1L << 40);

    /** Returns a copy of these limits with a maximum body size of {@code bytes}. */
    public HttpLimits withMaxBodyBytes(long bytes) {
        return new HttpLimits(maxStartLineBytes, maxFieldBytes, maxHeadBytes, maxFieldCount, bytes);
    }
}
