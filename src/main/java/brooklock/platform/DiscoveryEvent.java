package brooklock.platform;

import brooklock.routing.EndpointState;
import java.util.List;
import java.util.Optional;

/** What the platform's discovery service sends. Immutable. */
public sealed interface DiscoveryEvent {
    /** Returns its number; events are numbered from 1 at the start of a dispatcher. */
    long sequence();

    /**
     * An endpoint of a list.
     *
     * @param name its name
     * @param address where it listens; not parsed yet, and empty if absent
     * @param zone the name of its zone; empty if absent
     * @param kind the name of its kind; empty if absent
     * @param state its state; empty if that is none that is known here
     * @param weight its weight
     * @param startedAtMs when it started, Unix ms; 0 means long ago
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
     * The endpoint list or a change of it.
     *
     * @param sequence the event's number
     * @param snapshot whether it is the complete list
     * @param endpoints the endpoints it names
     */
    record EndpointListUpdate(long sequence, boolean snapshot, List<Endpoint> endpoints)
            implements DiscoveryEvent {}

    /**
     * A purge.
     *
     * @param sequence the event's number
     * @param objectId the object; 0 means all objects of the group
     * @param group the purge group
     * @param purgedAtMs when it was issued, Unix ms
     */
    record Purge(long sequence, long objectId, int group, long purgedAtMs)
            implements DiscoveryEvent {}

    /**
     * A sign of life, sent each second.
     *
     * @param sequence the number of the last event
     */
    record Heartbeat(long sequence) implements DiscoveryEvent {}

    /**
     * An event of a kind that is not known here.
     *
     * @param sequence the event's number
     */
    record UnknownEvent(long sequence) implements DiscoveryEvent {}
}
