package brooklock.testserver;

import java.util.HashMap;
import java.util.Map;

/** The time of the latest purge of each object and group. Used on the server's I/O thread only. */
final class PurgeRecord {
    private final Map<Long, Long> objectPurgesNs = new HashMap<>();
    private final Map<Integer, Long> groupPurgesNs = new HashMap<>();

    /** Registers a purge of an object, or of a group if {@code object} is 0. */
    void add(long object, int group, long purgedNs) {
        if (object != 0) {
            objectPurgesNs.merge(object, purgedNs, Math::max);
        } else {
            groupPurgesNs.merge(group, purgedNs, Math::max);
        }
    }

    /** Returns whether a copy was created before a purge of its object or its group. */
    boolean isPurged(CachedCopy copy) {
        return copy.createdNs() < objectPurgesNs.getOrDefault(copy.key().object(), Long.MIN_VALUE)
                || copy.createdNs() < groupPurgesNs.getOrDefault(copy.group(), Long.MIN_VALUE);
    }
}
