package brooklock.membership;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The time of each purge on the router's clock. A purge that is repeated, or arrives late on
 * another connection, gets the time of its first arrival. Without this, a wall clock that was set
 * in between would make the repeat purge more or fewer copies than the first one did. Pure; owned
 * by the routing thread.
 */
public final class PurgeTimes {
    /**
     * Purges remembered at most; the oldest is forgotten first and counts as new if it is repeated.
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
     * Returns how long ago a purge was, in ns.
     *
     * @param purge what is purged and at which time, as the request states both
     * @param nowNs the router's clock
     * @param wallAgeNs how long ago it was by the wall clock now; used on its first arrival only
     */
    public long ageNs(String purge, long nowNs, long wallAgeNs) {
        return nowNs - purgedAtNs.computeIfAbsent(purge, first -> nowNs - wallAgeNs);
    }
}
