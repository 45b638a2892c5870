package brooklock.membership;

import java.util.List;

/**
 * An endpoint list, or a change of one, as a source sends it.
 *
 * @param version its place in the source's order; null for an event without one, which counts as
 *     newer than whatever arrived before it
 * @param full whether endpoints that it does not name are gone; otherwise it names the changes only
 * @param endpoints the endpoints that it names
 */
public record WatchEvent(EventVersion version, boolean full, List<ListedEndpoint> endpoints) {
    /**
     * Copies the endpoints.
     *
     * @throws IllegalArgumentException if a full list has a base version, or a versioned delta has
     *     none
     */
    public WatchEvent {
        if (version != null && full != (version.baseSequence() == 0)) {
            throw new IllegalArgumentException(
                    full
                            ? "a full list follows nothing"
                            : "a numbered delta names the number that it follows");
        }
        endpoints = List.copyOf(endpoints);
    }

    /** Returns an event without a version. */
    public static WatchEvent unversioned(boolean full, List<ListedEndpoint> endpoints) {
        return new WatchEvent(null, full, endpoints);
    }
}
