package brooklock.platform;

import java.util.List;

/** What the command channel tells. */
public sealed interface Command {
    /** Its number. */
    long cursor();

    /** A host of the list; {@code sinceMs} is wall time of a late start, or 0. */
    record Endpoint(
            String name,
            String address,
            String zone,
            String type,
            String status,
            double weight,
            long sinceMs) {}

    /** The list of hosts, whole ({@code snapshot}) or what has changed. */
    record Nodes(long cursor, boolean snapshot, List<Endpoint> endpoints) implements Command {}

    /** A purge of an object, or of a group where {@code object} is 0, at a moment of wall time. */
    record Drop(long cursor, long object, int group, long whenMs) implements Command {}

    /** The number of the last event, told each second. */
    record Beat(long cursor) implements Command {}

    /** An event of a kind that is not known here. */
    record Other(long cursor) implements Command {}
}
