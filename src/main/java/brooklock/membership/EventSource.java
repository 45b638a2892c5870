package brooklock.membership;

import brooklock.routing.EndpointState;
import org.pcollections.PSortedMap;
import org.pcollections.TreePMap;

/**
 * What one source has said last. Immutable.
 *
 * @param epoch 0 where it gives no order, or its order is to begin anew
 * @param heardMs wall time at which it was heard last, ms since 1970; only to be shown
 * @param words each host it has named, as it named it last; one that it took away stands here as
 *     gone
 */
public record EventSource(
        String name,
        long epoch,
        long sequence,
        long lastHeardMs,
        PSortedMap<Long, ListedEndpoint> endpoints) {
    /** The name of the hosts in the settings, which hold until any source gives a full list. */
    public static final String SETTINGS = "*settings";

    /** The name of lists without an order. */
    public static final String UNVERSIONED = "*unnumbered";

    static EventSource initial(String name) {
        return new EventSource(name, 0, 0, 0, TreePMap.empty());
    }

    boolean isOrdered() {
        return !name.startsWith("*");
    }

    EventSource withLastHeard(long ms) {
        return new EventSource(name, epoch, sequence, ms, endpoints);
    }

    /** The same after a notice. */
    EventSource withEvent(WatchEvent n, long ms) {
        PSortedMap<Long, ListedEndpoint> next = endpoints;
        if (n.full()) {
            for (ListedEndpoint m : endpoints.values()) {
                next = next.plus(m.id(), m.withState(EndpointState.GONE));
            }
        }
        for (ListedEndpoint m : n.endpoints()) {
            next = next.plus(m.id(), m);
        }
        if (next.size() > EndpointListCodec.MAX_ENDPOINTS) {
            for (ListedEndpoint m : next.values()) {
                next = m.state() == EndpointState.GONE ? next.minus(m.id()) : next;
            }
        }
        return new EventSource(
                name,
                n.version() == null ? 0 : n.version().epoch(),
                n.version() == null ? 0 : n.version().sequence(),
                ms,
                next);
    }

    /** Whether a full list says the same as this one holds. */
    boolean hasSameEndpoints(WatchEvent full) {
        EventSource other = initial(name).withEvent(full, 0);
        return withoutGone(endpoints).equals(withoutGone(other.endpoints));
    }

    private static PSortedMap<Long, ListedEndpoint> withoutGone(
            PSortedMap<Long, ListedEndpoint> all) {
        PSortedMap<Long, ListedEndpoint> left = all;
        for (ListedEndpoint m : all.values()) {
            left = m.state() == EndpointState.GONE ? left.minus(m.id()) : left;
        }
        return left;
    }

    @Override
    public String toString() {
        return isOrdered()
                ? "source " + name + " epoch " + epoch + " number " + sequence
                : "source " + name;
    }
}
