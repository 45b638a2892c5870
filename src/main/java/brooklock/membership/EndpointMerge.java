package brooklock.membership;

import brooklock.routing.EndpointState;
import java.util.Map;
import java.util.Optional;

/**
 * Merges what all sources and the operators say of one endpoint. The result does not depend on the
 * order of arrival: the most restrictive state wins, and the remaining fields come from one source
 * chosen by its name.
 */
final class EndpointMerge {
    private EndpointMerge() {}

    /**
     * Returns an endpoint as it is in force: address, weight and zone from the source that takes
     * precedence, the most restrictive state of any source and of the override, the latest start
     * that any source knows of. Empty if no source names it.
     */
    static Optional<ListedEndpoint> merge(
            long id, Map<String, EventSource> sources, EndpointState override) {
        ListedEndpoint preferred = null;
        String preferredSource = null;
        EndpointState state = override;
        long startedMs = 0;
        for (Map.Entry<String, EventSource> entry : sources.entrySet()) {
            ListedEndpoint endpoint = entry.getValue().endpoints().get(id);
            if (endpoint == null) {
                continue;
            }
            if (preferred == null || takesPrecedence(entry.getKey(), preferredSource)) {
                preferred = endpoint;
                preferredSource = entry.getKey();
            }
            state = mostRestrictive(state, endpoint.state());
            startedMs = Math.max(startedMs, endpoint.startedMs());
        }
        if (preferred == null) {
            return Optional.empty();
        }
        return Optional.of(
                new ListedEndpoint(
                        preferred.name(),
                        preferred.id(),
                        preferred.kind(),
                        preferred.zone(),
                        preferred.address(),
                        state,
                        preferred.weight(),
                        startedMs));
    }

    /** Ordered sources come first, by name; then lists without versions; the settings last. */
    private static boolean takesPrecedence(String source, String other) {
        boolean ordered = !source.startsWith("*");
        boolean otherOrdered = !other.startsWith("*");
        if (ordered != otherOrdered) {
            return ordered;
        }
        return ordered ? source.compareTo(other) < 0 : other.equals(EventSource.SETTINGS);
    }

    /** Returns the more restrictive of two states: gone before draining before ready. */
    static EndpointState mostRestrictive(EndpointState a, EndpointState b) {
        if (a == EndpointState.GONE || b == EndpointState.GONE) {
            return EndpointState.GONE;
        }
        return a == EndpointState.DRAINING || b == EndpointState.DRAINING
                ? EndpointState.DRAINING
                : EndpointState.READY;
    }
}
