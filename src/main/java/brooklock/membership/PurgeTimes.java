package brooklock.membership;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Moments of purges in the module's time. A purge told again, or told late by another way, is the
 * same moment whatever the wall clock has done between, so that a repeat neither takes back nor
 * widens what the first one did. Pure.
 */
public final class PurgeTimes {
    /**
     * Purges remembered; the one told longest ago is forgotten first, and taken as new if it comes
     * again.
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
     * How long ago a purge was.
     *
     * @param what what is purged, with the moment as the notice names it
     * @param now the module's time, ns
     * @param agoNs how long ago it was by the wall clock as it is now
     */
    public long ageNs(String what, long now, long agoNs) {
        return now - purgedAtNs.computeIfAbsent(what, k -> now - agoNs);
    }
}
