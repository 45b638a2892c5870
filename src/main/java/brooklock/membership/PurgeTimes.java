package brooklock.membership;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Remembers the time of each purge on the router's clock. A purge that is repeated, or arrives
 * again on another connection, keeps the time of its first arrival. Otherwise a wall clock that was
 * set in between would make the repeated purge remove more or fewer copies than the first one.
 * Performs no I/O and reads no clock. Not thread-safe: the routing thread owns it.
 */
public final class PurgeTimes {
    /**
     * Maximum number of purges that are remembered. The oldest is dropped first and counts as new
     * if it is repeated.
     */
    public static final int MAX_PURGES = 4096;

    private final Map<String, Long> purgedAtNs =
            new LinkedHashMap<>() {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
                    return size() > MAX_PURGES;
                }
            };

    /**
     * Returns the age of a purge, in ns.
     *
     * @param purge identifies the purge: the purged object or group and the purge time, as stated
     *     in the request
     * @param nowNs current time on the router's clock
     * @param wallAgeNs age of the purge by the current wall clock; used on its first arrival only
     */
    public long ageNs(String purge, long nowNs, long wallAgeNs) {
        return nowNs - purgedAtNs.computeIfAbsent(purge, key -> nowNs - wallAgeNs);
    }
}
