package brooklock.platform;

import brooklock.routing.AttemptOutcome;
import brooklock.routing.CacheStatus;

/**
 * What an attempt came to.
 *
 * @param outcome how it ended
 * @param cacheStatus what the endpoint says of the copy or of the fill
 * @param fillDurationNs time that the endpoint waited for its fill source, ns
 * @param notModified whether the endpoint confirmed the client's own copy, so that no body follows
 * @param body the bytes of the object; empty where there are none
 */
@SuppressWarnings("ArrayRecordComponent") // Never compared; a copy of each body would be wasted.
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
