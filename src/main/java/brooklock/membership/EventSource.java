package brooklock.membership;

import brooklock.routing.EndpointState;
import org.pcollections.PSortedMap;
import org.pcollections.TreePMap;

/**
 * The state of one source: the version of its last event and its latest description of each
 * endpoint. Immutable.
 *
 * @param name the source's name
 * @param epoch epoch of the last event; 0 if the source's events have no version, or if its order
 *     was reset
 * @param sequence sequence number of the last event; 0 under the same conditions as {@code epoch}
 * @param lastEventMs wall time at which the last event or a repetition of it arrived, in ms since
 *     1970; for display only
 * @param endpoints the latest description of each endpoint that the source has named, by id; an
 *     endpoint that the source removed is kept as gone, so that another source that has not yet
 *     noticed the removal does not undo it
 */
public record EventSource(
        String name,
        long epoch,
        long sequence,
        long lastEventMs,
        PSortedMap<Long, ListedEndpoint> endpoints) {
    /**
     * Name of the source of the endpoints in the settings. The source is dropped as soon as another
     * source sends a full list.
     */
    public static final String SETTINGS = "*settings";

    /** Name of the source to which all events without a version are assigned. */
    public static final String UNVERSIONED = "*unnumbered";

    /** Returns a source that has not sent any event. */
    static EventSource initial(String name) {
        return new EventSource(name, 0, 0, 0, TreePMap.empty());
    }

    /**
     * Returns whether the events of this source have versions. The names of sources without
     * versions begin with an asterisk.
     */
    boolean isOrdered() {
        return !name.startsWith("*");
    }

    /** Returns this source with the given arrival time of its last event, in ms since 1970. */
    EventSource withLastEventMs(long wallMs) {
        return new EventSource(name, epoch, sequence, wallMs, endpoints);
    }

    /**
     * Returns this source with its order reset, so that its next full list is accepted with any
     * epoch.
     */
    EventSource withOrderReset() {
        return new EventSource(name, 0, 0, lastEventMs, endpoints);
    }

    /** Returns this source with the given endpoints, by id. */
    EventSource withEndpoints(PSortedMap<Long, ListedEndpoint> newEndpoints) {
        return new EventSource(name, epoch, sequence, lastEventMs, newEndpoints);
    }

    /**
     * Returns this source after an event. The caller has checked the event's version. A full list
     * marks the endpoints that it does not name as gone. Endpoints that are gone are dropped only
     * when {@link EndpointListCodec#MAX_ENDPOINTS} is exceeded.
     *
     * @param wallMs wall time at which the event arrived, in ms since 1970
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

    /**
     * Returns whether a full list describes the same endpoints as this source, apart from those
     * that are gone.
     */
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

    /** Returns the name and version as the control protocol and the state page spell them. */
    @Override
    public String toString() {
        return isOrdered()
                ? "source " + name + " epoch " + epoch + " number " + sequence
                : "source " + name;
    }
}
