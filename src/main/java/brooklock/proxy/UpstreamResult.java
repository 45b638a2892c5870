package brooklock.proxy;

import brooklock.routing.AttemptOutcome;
import brooklock.routing.CacheStatus;

/**
 * What the head of an endpoint's response says.
 *
 * @param outcome how the attempt ends, if its body comes whole
 * @param cacheStatus where the bytes came from, or why there are none
 * @param fillDurationNs how long the endpoint waited for its fill source, ns; 0 if it does not say
 */
record UpstreamResult(AttemptOutcome outcome, CacheStatus cacheStatus, long fillDurationNs) {}
