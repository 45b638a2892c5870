package brooklock.platform;

import java.util.List;

/** What the command channel tells. */
public sealed interface DiscoveryEvent {
    /** Its number. */
    long sequence();

    /** A host of the list; {@code sinceMs} is wall time of a late start, or 0. */
    record Endpoint(
            String name,
            String address,
            String zone,
            String type,
            String status,
            double weight,
            long startedAtMs) {}

    /** The list of hosts, whole ({@code snapshot}) or what has changed. */
    record EndpointListUpdate(long sequence, boolean snapshot, List<Endpoint> endpoints)
            implements DiscoveryEvent {}

    /** A purge of an object, or of a group where {@code object} is 0, at a moment of wall time. */
    record Purge(long sequence, long objectId, int group, long purgedAtMs)
            implements DiscoveryEvent {}

    /** The number of the last event, told each second. */
    record Heartbeat(long sequence) implements DiscoveryEvent {}

    /** An event of a kind that is not known here. */
    record UnknownEvent(long sequence) implements DiscoveryEvent {}
}
