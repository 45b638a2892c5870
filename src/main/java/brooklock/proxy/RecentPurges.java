package brooklock.proxy;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Purges that may not be complete at every cache. Not thread-safe.
 *
 * <p>Until a purge is complete a peer may still hold an older copy; a prefetch would fill a cache
 * from it, and the cache would keep a copy that should be gone. The number of purges remembered is
 * bounded; beyond it nothing at all is prefetched until the one that found no room is complete.
 */
final class RecentPurges {
    private static final int MAX_REMEMBERED = 4096;
    // A cache may be as late again in dropping a copy that it filled at the last moment.
    private static final long MARGIN_NS = 1_000_000_000L;

    private final long completionNs;
    private final Map<String, Long> incompleteUntilNs = new LinkedHashMap<>();
    private long blockedUntilNs;

    /**
     * Makes one without purges.
     *
     * @param completionNs time in which a purge is complete at every cache, ns
     */
    RecentPurges(long completionNs) {
        this.completionNs = completionNs;
    }

    /**
     * Adds a purge.
     *
     * @param object the object; 0 means all of the group
     * @param purgedAtNs when it was issued, on the dispatcher's clock
     */
    void add(long object, int group, long purgedAtNs) {
        long untilNs = purgedAtNs + completionNs + MARGIN_NS;
        if (incompleteUntilNs.size() >= MAX_REMEMBERED) {
            blockedUntilNs = Math.max(blockedUntilNs, untilNs);
        } else {
            incompleteUntilNs.merge(
                    object != 0 ? objectKey(object) : groupKey(group), untilNs, Math::max);
        }
    }

    /** Forgets complete purges, and returns whether anything may be prefetched. */
    boolean allowsPrefetch(long nowNs) {
        incompleteUntilNs.values().removeIf(untilNs -> nowNs > untilNs);
        return nowNs >= blockedUntilNs;
    }

    /** Returns whether no incomplete purge covers an object. */
    boolean allows(long object, int group) {
        return !incompleteUntilNs.containsKey(objectKey(object))
                && !incompleteUntilNs.containsKey(groupKey(group));
    }

    private static String objectKey(long object) {
        return "o" + object;
    }

    private static String groupKey(int group) {
        return "g" + group;
    }
}
