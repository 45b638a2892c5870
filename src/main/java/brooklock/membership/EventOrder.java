package brooklock.membership;

import brooklock.membership.UpdateResult.Status;
import java.util.Optional;

/**
 * Decides whether a versioned event is the next one of its source. Events arrive on any number of
 * connections, so the order of arrival says nothing; without this check an overtaken event would
 * bring back an endpoint that a newer one has removed.
 */
final class EventOrder {
    private EventOrder() {}

    /**
     * Returns why a versioned event must not be applied, or empty if it is the next one of its
     * source.
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
        // A delta from an earlier base than the one in force is a gap too: an endpoint that changed
        // and changed back between the two is not in it, and would keep its state of before.
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
