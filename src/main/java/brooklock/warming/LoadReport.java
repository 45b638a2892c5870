package brooklock.warming;

/**
 * What an endpoint reports of its own load in a response.
 *
 * @param utilization share of its link in use
 * @param inFlight requests in flight there
 * @param hitRatio its recent share of cache hits, 0 to 1
 * @param requestSentNs when the request was sent that the report answers; what an endpoint reported
 *     to an earlier request may date from before its last start
 * @param receivedNs when the report was received
 */
public record LoadReport(
        double utilization, int inFlight, double hitRatio, long requestSentNs, long receivedNs) {
    // A link that transfers share may be reported as more than full; beyond this the figure is no
    // share.
    private static final double MAX_UTILIZATION = 100;

    /**
     * Whether every figure is in its range; a report with a missing figure or NaN is not plausible.
     */
    public boolean isPlausible() {
        return utilization >= 0
                && utilization <= MAX_UTILIZATION
                && inFlight >= 0
                && hitRatio >= 0
                && hitRatio <= 1;
    }
}
