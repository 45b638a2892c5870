package brooklock.membership;

import java.util.List;

/**
 * A list of hosts as a source sends it.
 *
 * @param stamp its place in the source's order; null for one without, which is taken in the order
 *     of arrival
 * @param full what it leaves out is gone; else it holds changes only
 */
public record WatchEvent(EventVersion version, boolean full, List<ListedEndpoint> endpoints) {
    /** Checks that the stamp fits. */
    public WatchEvent {
        if (version != null && full != (version.baseSequence() == 0)) {
            throw new IllegalArgumentException(
                    full
                            ? "a full list follows nothing"
                            : "a numbered delta names the number that it follows");
        }
        endpoints = List.copyOf(endpoints);
    }

    /** One without a place in an order. */
    public static WatchEvent unversioned(boolean full, List<ListedEndpoint> members) {
        return new WatchEvent(null, full, members);
    }
}
