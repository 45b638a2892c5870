package brooklock.membership;

import brooklock.membership.UpdateResult.Status;
import java.util.Optional;

/**
 * Checks whether a versioned event may follow the last applied event of its source. Events arrive
 * on any number of connections, so the order of arrival is not the order in which they were sent.
 * Without this check a delayed event would restore an endpoint that a newer event has removed.
 * Stateless.
 */
final class EventOrder {
    private EventOrder() {}

    /**
     * Returns the result with which a versioned event is rejected, or empty if the event may be
     * applied.
     *
     * @param source the state of the event's source
     * @param event an event with a version
     */
    static Optional<UpdateResult> check(EventSource source, WatchEvent event) {
        EventVersion version = event.version();
        if (version.epoch() < source.epoch()) {
            return rejected(Status.STALE_EPOCH, source);
        }
        if (version.epoch() > source.epoch()) {
            return event.full() ? Optional.empty() : rejected(Status.GAP, source);
        }
        if (version.sequence() < source.sequence()) {
            return rejected(Status.STALE_SEQUENCE, source);
        }
        if (version.sequence() == source.sequence()) {
            boolean conflict = event.full() && !source.hasSameEndpoints(event);
            return rejected(conflict ? Status.CONFLICT : Status.DUPLICATE, source);
        }
        // A delta whose base is older than the sequence number in force is rejected as a gap, too.
        // It omits endpoints that changed after the base and then changed back. If this dispatcher
        // has applied the first change, it would never learn of the second.
        return event.full() || version.baseSequence() == source.sequence()
                ? Optional.empty()
                : rejected(Status.GAP, source);
    }

    private static Optional<UpdateResult> rejected(Status status, EventSource source) {
        String inForce =
                source.epoch() == 0
                        ? "source " + source.name() + " has said nothing yet"
                        : source.toString();
        return Optional.of(UpdateResult.unchanged(status, inForce));
    }
}
