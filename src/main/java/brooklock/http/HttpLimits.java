package brooklock.http;

/**
 * The size limits of one message. A message that exceeds one is rejected: a request with the status
 * given here, a response with 502. Immutable.
 *
 * @param maxStartLineBytes maximum size of the request line or status line, bytes; 414
 * @param maxFieldBytes maximum size of one field line, bytes; 431
 * @param maxHeadBytes maximum size of all field lines of a section together, bytes; 431
 * @param maxFieldCount maximum number of field lines in a head or in a trailer section; 431
 * @param maxBodyBytes maximum size of a body without its framing, bytes; 413
 */
public record HttpLimits(
        int maxStartLineBytes,
        int maxFieldBytes,
        int maxHeadBytes,
        int maxFieldCount,
        long maxBodyBytes) {
    /**
     * The limits that hold unless others are stated. They admit signed URLs and large cookies, but
     * do not let a peer tie up much memory with one head.
     */
    public static final HttpLimits STANDARD = new HttpLimits(8192, 8192, 32768, 100, 1L << 40);

    /** Returns a copy of these limits with another maximum size of a body, bytes. */
    public HttpLimits withMaxBodyBytes(long bytes) {
        return new HttpLimits(maxStartLineBytes, maxFieldBytes, maxHeadBytes, maxFieldCount, bytes);
    }
}
