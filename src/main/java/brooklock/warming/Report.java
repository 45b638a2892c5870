package brooklock.warming;

/**
 * What a host said of itself in an answer.
 *
 * @param util share of its link in use
 * @param inflight requests that it holds
 * @param hits share of hits lately
 * @param sentNs when the request was sent to which it was the answer: what a host said before that
 *     it may have said before its last start
 * @param atNs when it was heard
 */
public record Report(double util, int inflight, double hits, long sentNs, long atNs) {
    // A link may be told as fuller than full while transfers share it; beyond this it is no share
    // at all.
    private static final double MOST_UTIL = 100;

    /** Whether the figures can be. */
    public boolean sane() {
        return util >= 0 && util <= MOST_UTIL && inflight >= 0 && hits >= 0 && hits <= 1;
    }
}
