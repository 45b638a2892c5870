package brooklock.proxy;

import brooklock.routing.AttemptOutcome;
import brooklock.routing.CacheStatus;

/**
 * The result of an attempt as stated by the head of the endpoint's response. Immutable.
 *
 * @param outcome the outcome of the attempt, provided that the body arrives completely
 * @param cacheStatus the source of the response's bytes, or the reason why there are none
 * @param fillDurationNs the time for which the endpoint waited for its fill source, in ns; 0 if it
 *     is not reported
 */
record UpstreamResult(AttemptOutcome outcome, CacheStatus cacheStatus, long fillDurationNs) {}
