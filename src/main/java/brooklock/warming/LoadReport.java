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
public record LoadReport(
        double utilization, int inFlight, double hitRatio, long requestSentNs, long receivedNs) {
    // A link may be told as fuller than full while transfers share it; beyond this it is no share
    // at all.
    private static final double MAX_UTILIZATION = 100;

    /** Whether the figures can be. */
    public boolean isPlausible() {
        return utilization >= 0
                && utilization <= MAX_UTILIZATION
                && inFlight >= 0
                && hitRatio >= 0
                && hitRatio <= 1;
    }
}
