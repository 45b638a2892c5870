package brooklock.testserver;

/**
 * What a server can do. Dispatchers do not know it.
 *
 * @param name its name
 * @param role what it is
 * @param maxTransfers transfers at full rate that its link carries at once
 * @param bytesPerSecond rate of one transfer
 * @param maxRequests requests that it processes at once; it rejects further ones
 * @param maxCopies copies that it stores
 * @param coldStartShare share of its link right after a start
 * @param warmUpNs time until it has all of its link
 * @param overloadMultiple multiple of its present capacity that makes it fail while it warms up; 0
 *     for never
 * @param overloadWindowNs time over which that load is summed up
 * @param baseLatencyNs time until the first byte
 * @param maxRequestsPerS requests a second above which it rejects (origins); 0 for none
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
    /** What a server is. */
    public enum Role {
        /** Holds copies near the clients. */
        CACHE,
        /** Holds copies for caches. */
        PARENT,
        /** Has every object. */
        ORIGIN
    }
}
