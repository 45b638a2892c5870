package brooklock.routing;

import brooklock.routing.RouterEvent.PurgeReceived;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The oldest copy that may be served.
 *
 * <p>Caches apply a purge in their own time, so each purge is remembered until no older copy can be
 * left, and every attempt asks for a younger copy until then. It prevents a purged copy from being
 * served, which shows as old content after a purge; it holds because a copy's age only grows on its
 * way.
 */
final class PurgeLog {
    /**
     * Purges are kept this much longer, and copies demanded this much younger, ns: clocks are read
     * in steps.
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
     * Greatest age of a copy that may be served, ns; 0 leaves it to the class's freshness lifetime.
     */
    long maxAgeNs(PendingRequest request, long now) {
        Long object = purgedObjects.get(request.event.object());
        Long group = purgedGroups.get(request.event.group());
        long purgedAt =
                Math.max(
                        object == null ? Long.MIN_VALUE : object,
                        group == null ? Long.MIN_VALUE : group);
        if (purgedAt == Long.MIN_VALUE || isExpired(purgedAt, now)) {
            return 0;
        }
        long age = Math.max(1, now - purgedAt - MARGIN_NS);
        long lifetime = request.requestClass.freshnessLifetimeNs();
        return lifetime > 0 ? Math.min(lifetime, age) : age;
    }

    private boolean isExpired(long purgedAt, long now) {
        return now > purgedAt + purgeWindowNs + MARGIN_NS;
    }
}
