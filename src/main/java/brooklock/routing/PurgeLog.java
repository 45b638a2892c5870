package brooklock.routing;

import brooklock.routing.RouterEvent.PurgeReceived;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Determines the maximum age of a copy that may be served.
 *
 * <p>Inputs: purges of objects and groups, the time within which every cache has applied them, and
 * the freshness lifetime of the request's class.
 *
 * <p>Caches apply a purge at different times. Until all of them have, each attempt for a purged
 * object requires a copy that is younger than the purge; otherwise old content could be served
 * after a purge. This covers every attempt that starts after the purge event: copies only grow
 * older while the attempt is in transit, so a copy from before the purge remains too old.
 */
final class PurgeLog {
    /**
     * Margin in nanoseconds by which purges are kept longer, and copies must be younger, than
     * strictly required.
     */
    private static final long MARGIN_NS = 1_000_000L;

    private final long purgeWindowNs;
    private final Map<Long, Long> purgedObjects = new LinkedHashMap<>();
    private final Map<Integer, Long> purgedGroups = new LinkedHashMap<>();

    PurgeLog(RouterSettings settings) {
        purgeWindowNs = settings.safetyLimits().purgeWindowNs();
    }

    void onPurge(PurgeReceived purge, long now) {
        long purgedAt = now - purge.ageNs();
        purgedObjects.values().removeIf(at -> isExpired(at, now));
        purgedGroups.values().removeIf(at -> isExpired(at, now));
        if (purge.object() != 0) {
            purgedObjects.merge(purge.object(), purgedAt, Math::max);
        } else {
            purgedGroups.merge(purge.group(), purgedAt, Math::max);
        }
    }

    /**
     * Returns the maximum age of a copy that may be served, in nanoseconds; 0 means that only the
     * freshness lifetime of the class applies.
     */
    long maxAgeNs(PendingRequest request, long now) {
        Long objectPurgedAt = purgedObjects.get(request.event.object());
        Long groupPurgedAt = purgedGroups.get(request.event.group());
        long purgedAt =
                Math.max(
                        objectPurgedAt == null ? Long.MIN_VALUE : objectPurgedAt,
                        groupPurgedAt == null ? Long.MIN_VALUE : groupPurgedAt);
        if (purgedAt == Long.MIN_VALUE || isExpired(purgedAt, now)) {
            return 0;
        }
        long ageNs = Math.max(1, now - purgedAt - MARGIN_NS);
        long lifetimeNs = request.requestClass.freshnessLifetimeNs();
        return lifetimeNs > 0 ? Math.min(lifetimeNs, ageNs) : ageNs;
    }

    private boolean isExpired(long purgedAt, long now) {
        return now > purgedAt + purgeWindowNs + MARGIN_NS;
    }
}
