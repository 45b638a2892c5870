package brooklock.warming;

/**
 * The load of an endpoint as it reports it in a response. Immutable. Times are on the dispatcher's
 * monotonic clock.
 *
 * @param utilization share of the endpoint's link in use; 1 means fully used
 * @param inFlight number of requests in flight at the endpoint
 * @param hitRatio recent cache hit ratio, from 0 to 1
 * @param requestSentNs time at which the request of this response was sent, in ns; a report for a
 *     request that was sent before the endpoint's last start describes the previous incarnation
 * @param receivedNs time at which the report was received, in ns
 */
public record LoadReport(
        double utilization, int inFlight, double hitRatio, long requestSentNs, long receivedNs) {
    // A link that several transfers share may be reported as more than fully used. A value above
    // this limit is not a utilization.
    private static final double MAX_UTILIZATION = 100;

    /**
     * Returns whether every value is within its range. A report in which a value is missing or NaN
     * is not plausible.
     */
    public boolean isPlausible() {
        return utilization >= 0
                && utilization <= MAX_UTILIZATION
                && inFlight >= 0
                && hitRatio >= 0
                && hitRatio <= 1;
    }
}
