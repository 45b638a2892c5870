package brooklock.membership;

import brooklock.routing.EndpointState;
import org.pcollections.PSortedMap;
import org.pcollections.TreePMap;

/**
 * The state of one source: the version of its last event and what it says of each endpoint.
 * Immutable.
 *
 * @param name the source's name
 * @param epoch epoch of its last event; 0 if its events have no version, or its order was reset
 * @param sequence sequence number of its last event; 0 as for {@code epoch}
 * @param lastEventMs wall time of its last event, in ms since 1970; for display only
 * @param endpoints each endpoint that it has named, as it named it last; one that it removed is
 *     listed as gone, so that another source that has not yet noticed the removal does not undo it
 */
public record EventSource(
        String name,
        long epoch,
        long sequence,
        long lastEventMs,
        PSortedMap<Long, ListedEndpoint> endpoints) {
    /**
     * The source of the endpoints in the settings; it is dropped as soon as another source sends a
     * full list.
     */
    public static final String SETTINGS = "*settings";

    /** The source of all events without a version. */
    public static final String UNVERSIONED = "*unnumbered";

    /** Returns a source that has sent nothing. */
    static EventSource initial(String name) {
        return new EventSource(name, 0, 0, 0, TreePMap.empty());
    }

    /**
     * Whether its events have versions. The names of those that have none begin with an asterisk.
     */
    boolean isOrdered() {
        return !name.startsWith("*");
    }

    EventSource withLastHeard(long wallMs) {
        return new EventSource(name, epoch, sequence, wallMs, endpoints);
    }

    /**
     * Returns this source with its order reset: the next full list is accepted whatever its epoch.
     */
    EventSource withOrderReset() {
        return new EventSource(name, 0, 0, lastEventMs, endpoints);
    }

    EventSource withEndpoints(PSortedMap<Long, ListedEndpoint> newEndpoints) {
        return new EventSource(name, epoch, sequence, lastEventMs, newEndpoints);
    }

    /**
     * Returns this source after an event, whose version the caller has checked. A full list marks
     * what it leaves out as gone; gone endpoints are forgotten only when the limit of a list is
     * reached.
     */
    EventSource withEvent(WatchEvent event, long wallMs) {
        PSortedMap<Long, ListedEndpoint> next = endpoints;
        if (event.full()) {
            for (ListedEndpoint endpoint : endpoints.values()) {
                next = next.plus(endpoint.id(), endpoint.withState(EndpointState.GONE));
            }
        }
        for (ListedEndpoint endpoint : event.endpoints()) {
            next = next.plus(endpoint.id(), endpoint);
        }
        if (next.size() > EndpointListCodec.MAX_ENDPOINTS) {
            next = withoutGone(next);
        }
        EventVersion version = event.version();
        return new EventSource(
                name,
                version == null ? 0 : version.epoch(),
                version == null ? 0 : version.sequence(),
                wallMs,
                next);
    }

    /** Whether a full list names the same endpoints, in the same states, as this source does. */
    boolean hasSameEndpoints(WatchEvent fullList) {
        EventSource other = initial(name).withEvent(fullList, 0);
        return withoutGone(endpoints).equals(withoutGone(other.endpoints));
    }

    /** Returns the endpoints that are not gone. */
    static PSortedMap<Long, ListedEndpoint> withoutGone(PSortedMap<Long, ListedEndpoint> all) {
        PSortedMap<Long, ListedEndpoint> remaining = all;
        for (ListedEndpoint endpoint : all.values()) {
            if (endpoint.state() == EndpointState.GONE) {
                remaining = remaining.minus(endpoint.id());
            }
        }
        return remaining;
    }

    /** Returns name and version in the words of the control protocol and the state page. */
    @Override
    public String toString() {
        return isOrdered()
                ? "source " + name + " epoch " + epoch + " number " + sequence
                : "source " + name;
    }
}
