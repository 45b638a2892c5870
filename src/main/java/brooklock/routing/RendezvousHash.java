package brooklock.routing;

/**
 * Rendezvous hashing: ranks the endpoints for one copy, that is, for one part of an object.
 *
 * <p>All dispatchers compute the same ranking without exchanging messages, and an endpoint that
 * leaves moves only its own copies. A hash modulo the number of endpoints would move nearly all
 * copies and cause a burst of fills after each change of the endpoint list.
 */
public final class RendezvousHash {
    private RendezvousHash() {}

    /**
     * Returns the score of an endpoint for a copy. The endpoint with the highest score is the first
     * choice; each endpoint is the first choice for a share of the copies in proportion to its
     * weight.
     */
    public static double score(long copyHash, long endpoint, double weight) {
        return -weight / Math.log(uniformScore(copyHash, endpoint));
    }

    /**
     * Returns a score between 0 and 1, both exclusive, that ranks endpoints of equal weight like
     * {@link #score} but needs no logarithm.
     */
    static double uniformScore(long copyHash, long endpoint) {
        return ((mix(copyHash ^ mix(endpoint)) >>> 11) + 0.5) / (1L << 53);
    }

    /** Returns the hash of one part of an object. */
    public static long copyHash(long object, int part) {
        return mix(object * 31 + part);
    }

    // The finalizer of SplitMix64.
    private static long mix(long value) {
        value = (value ^ (value >>> 30)) * 0xbf58476d1ce4e5b9L;
        value = (value ^ (value >>> 27)) * 0x94d049bb133111ebL;
        return value ^ (value >>> 31);
    }
}
