package brooklock.membership;

import java.util.List;

/**
 * An event in which a source sends a full endpoint list or a change to one. Immutable.
 *
 * @param version position of the event in the order of its source; null for an unversioned event,
 *     which counts as newer than every event that arrived before it
 * @param full whether the event is a full list, so that endpoints it does not name are gone; a
 *     delta names only the endpoints that changed
 * @param endpoints the endpoints that the event names
 */
public record WatchEvent(EventVersion version, boolean full, List<ListedEndpoint> endpoints) {
    /**
     * Creates a new event with a copy of the given endpoints.
     *
     * @throws IllegalArgumentException if a full list has a base sequence number, or a versioned
     *     delta has none
     */
    public WatchEvent {
        if (version != null && full != (version.baseSequence() == 0)) {
            throw new IllegalArgumentException(
                    full
                            ? "expected a full list without 'follows' but received follows "
                                    + version.baseSequence()
                            : "expected a versioned delta to state 'follows M' but 'follows' is"
                                    + " missing");
        }
        endpoints = List.copyOf(endpoints);
    }

    /** Creates a new event without a version. */
    public static WatchEvent unversioned(boolean full, List<ListedEndpoint> endpoints) {
        return new WatchEvent(null, full, endpoints);
    }
}
