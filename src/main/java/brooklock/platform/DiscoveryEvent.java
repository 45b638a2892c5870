package brooklock.platform;

import brooklock.routing.EndpointState;
import java.util.List;
import java.util.Optional;

/** An event of the platform's discovery service. Immutable. */
public sealed interface DiscoveryEvent {
    /**
     * Returns the sequence number. The events are numbered consecutively, from 1 at the start of a
     * dispatcher.
     */
    long sequence();

    /**
     * An endpoint in an {@link EndpointListUpdate}.
     *
     * @param name the name of the endpoint
     * @param address the unparsed address on which it listens; empty if absent
     * @param zone the name of its zone; empty if absent
     * @param kind the name of its kind; empty if absent
     * @param state the state; empty if the service sent a state that this program does not know
     * @param weight the capacity of the endpoint relative to its peers; 1 if absent
     * @param startedAtMs the time of its start, Unix ms; 0 if absent, which means that it started
     *     long ago
     */
    record Endpoint(
            String name,
            String address,
            String zone,
            String kind,
            Optional<EndpointState> state,
            double weight,
            long startedAtMs) {}

    /**
     * The complete endpoint list or a change to it.
     *
     * @param sequence the sequence number of the event
     * @param snapshot whether the event contains the complete list
     * @param endpoints the endpoints of the complete list, or only the endpoints that have changed
     */
    record EndpointListUpdate(long sequence, boolean snapshot, List<Endpoint> endpoints)
            implements DiscoveryEvent {}

    /**
     * A purge of one object or of a whole purge group.
     *
     * @param sequence the sequence number of the event
     * @param objectId the id of the object; 0 for all objects of the group
     * @param group the purge group; 0 if absent
     * @param purgedAtMs the time at which the purge was issued, Unix ms
     */
    record Purge(long sequence, long objectId, int group, long purgedAtMs)
            implements DiscoveryEvent {}

    /**
     * A heartbeat, sent each second.
     *
     * @param sequence the sequence number of the last event that the service has sent
     */
    record Heartbeat(long sequence) implements DiscoveryEvent {}

    /**
     * An event of a type that this program does not know. It is ignored except for its sequence
     * number.
     *
     * @param sequence the sequence number of the event
     */
    record UnknownEvent(long sequence) implements DiscoveryEvent {}
}
