package brooklock.proxy;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Tracks purges that may not be complete at every cache. Not thread-safe.
 *
 * <p>Until a purge is complete, a peer may still have an older copy. A prefetch could fill another
 * cache with that copy, which would then outlive the purge. The number of tracked purges is
 * bounded; while a purge beyond the bound is incomplete, all prefetches are blocked.
 */
final class RecentPurges {
    private static final int MAX_TRACKED_PURGES = 4096;
    // A cache may need additional time to drop a copy that it filled just before the purge was
    // complete.
    private static final long COMPLETION_MARGIN_NS = 1_000_000_000L;

    private final long completionNs;
    private final Map<String, Long> incompleteUntilNs = new LinkedHashMap<>();
    private long blockedUntilNs;

    /**
     * Creates a new instance without purges.
     *
     * @param completionNs the time within which a purge is complete at every cache, in ns
     */
    RecentPurges(long completionNs) {
        this.completionNs = completionNs;
    }

    /**
     * Adds a purge.
     *
     * @param object the object; 0 means all objects of the group
     * @param group the purge group; used only if {@code object} is 0
     * @param purgedAtNs the time at which the purge was issued, on the dispatcher's clock, in ns
     */
    void add(long object, int group, long purgedAtNs) {
        long untilNs = purgedAtNs + completionNs + COMPLETION_MARGIN_NS;
        if (incompleteUntilNs.size() >= MAX_TRACKED_PURGES) {
            blockedUntilNs = Math.max(blockedUntilNs, untilNs);
        } else {
            incompleteUntilNs.merge(
                    object != 0 ? objectKey(object) : groupKey(group), untilNs, Math::max);
        }
    }

    /**
     * Removes complete purges and returns whether prefetches are allowed at all.
     *
     * @param nowNs the current time on the dispatcher's clock, in ns
     */
    boolean allowsPrefetch(long nowNs) {
        incompleteUntilNs.values().removeIf(untilNs -> nowNs > untilNs);
        return nowNs >= blockedUntilNs;
    }

    /**
     * Returns whether prefetches of the object are allowed, which is not the case while a tracked
     * purge covers the object or its group.
     */
    boolean allowsPrefetchOf(long object, int group) {
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
