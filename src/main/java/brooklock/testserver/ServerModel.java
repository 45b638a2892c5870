package brooklock.testserver;

/**
 * What a stand-in host can do; all of it is the stand-in's own and told to no dispatcher.
 *
 * @param name its name
 * @param role what it is
 * @param flows transfers at full pace that its link carries at once
 * @param pace bytes a second of one transfer
 * @param slots requests it holds at once; above them it refuses
 * @param copies copies it keeps
 * @param coldFrom share of its link right after a start
 * @param coldNs time until it has all of it
 * @param fallsAt multiple of what it can do now that pushes it over, 0 for none
 * @param fallNs for how long
 * @param baseNs time before the first byte
 * @param rate calls a second above which it refuses (origins), 0 for none
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
    /** What a host is. */
    public enum Role {
        CACHE,
        PARENT,
        ORIGIN
    }
}
