package brooklock.testserver;

/**
 * The capacity and limits of a server. Dispatchers do not know them.
 *
 * @param name name of the server
 * @param role role of the server
 * @param maxTransfers number of concurrent transfers that the server's link carries at full rate
 * @param bytesPerSecond full rate of one transfer
 * @param maxRequests limit on open requests; the server rejects further ones
 * @param maxCopies limit on cached copies
 * @param coldStartShare share of the link's capacity that is available right after a cold start
 * @param warmUpNs time from a cold start until the link has its full capacity
 * @param overloadMultiple multiple of the present capacity above which the server fails while it
 *     warms up; 0 for no limit
 * @param overloadWindowNs time over which the load for {@code overloadMultiple} is summed
 * @param baseLatencyNs time from the arrival of a request to the first byte of the response
 * @param maxRequestsPerS limit on requests a second, above which an origin rejects; 0 for none
 */
public record ServerModel(
        String name,
        Role role,
        double maxTransfers,
        double bytesPerSecond,
        int maxRequests,
        int maxCopies,
        double coldStartShare,
        long warmUpNs,
        double overloadMultiple,
        long overloadWindowNs,
        long baseLatencyNs,
        double maxRequestsPerS) {
    /** The role of a server. */
    public enum Role {
        /** Caches copies near the clients. */
        CACHE,
        /** Caches copies that caches fill from. */
        PARENT,
        /** Has every object. */
        ORIGIN
    }
}
