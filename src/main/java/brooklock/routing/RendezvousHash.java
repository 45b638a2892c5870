package brooklock.routing;

/**
 * Rendezvous hashing: the order of the endpoints for one copy, which is a part of an object.
 *
 * <p>All dispatchers find the same order without a message, and an endpoint that leaves moves its
 * own copies only. A hash by position would move nearly all of them, which shows as a burst of
 * fills after each change of the list.
 */
public final class RendezvousHash {
    private RendezvousHash() {}

    /**
     * Score of an endpoint for a copy; the highest holds it. Endpoints win in proportion to their
     * weight.
     */
    public static double score(long copy, long endpoint, double weight) {
        return -weight / Math.log(uniform(copy, endpoint));
    }

    /**
     * The same order as {@link #score} where all weights are equal, without the logarithm; in (0,
     * 1).
     */
    static double uniform(long copy, long endpoint) {
        return ((mix(copy ^ mix(endpoint)) >>> 11) + 0.5) / (1L << 53);
    }

    /** The hash of one part of an object. */
    public static long copyHash(long object, int part) {
        return mix(object * 31 + part);
    }

    // The finalizer of SplitMix64.
    private static long mix(long x) {
        x = (x ^ (x >>> 30)) * 0xbf58476d1ce4e5b9L;
        x = (x ^ (x >>> 27)) * 0x94d049bb133111ebL;
        return x ^ (x >>> 31);
    }
}
