package brooklock.platform;

import brooklock.routing.AttemptOutcome;
import brooklock.routing.CacheStatus;

/**
 * The result of an attempt.
 *
 * @param outcome how the attempt ended
 * @param cacheStatus how the endpoint used its cached copy or its fill source, as it reports
 * @param fillDurationNs the time for which the endpoint waited for its fill source, ns
 * @param notModified whether the endpoint reports that the client's copy is current; the response
 *     then has no body
 * @param body the bytes of the object; empty if the response has no body
 */
@SuppressWarnings("ArrayRecordComponent") // Never compared; not copied, to save memory.
record AttemptResult(
        AttemptOutcome outcome,
        CacheStatus cacheStatus,
        long fillDurationNs,
        boolean notModified,
        byte[] body) {
    private static final byte[] NO_BODY = {};

    /** Returns the result of an attempt that ended without a response. */
    static AttemptResult withoutResponse(AttemptOutcome outcome) {
        return new AttemptResult(outcome, CacheStatus.NONE, 0, false, NO_BODY);
    }
}
