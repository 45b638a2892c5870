package brooklock.membership;

import brooklock.routing.EndpointState;
import java.util.Map;
import java.util.Optional;

/**
 * Merges the descriptions of one endpoint by all sources with the operators' override. The result
 * does not depend on the order in which events arrived: the most restrictive state wins, the latest
 * start wins, and the remaining fields come from one source that is chosen by its name. Stateless.
 */
final class EndpointMerge {
    private EndpointMerge() {}

    /**
     * Returns the endpoint in force: address, weight and zone from the source that takes
     * precedence, the most restrictive state among all sources and the override, and the latest
     * start that any source states. Returns empty if no source names the endpoint.
     *
     * @param id the endpoint's id
     * @param sources all sources by name
     * @param override the operators' override; {@link EndpointState#READY} if there is none
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

    /**
     * Returns whether one source takes precedence over another. The order of precedence is:
     * versioned sources by name, the source of unversioned events, the settings.
     */
    private static boolean takesPrecedence(String source, String other) {
        boolean ordered = !source.startsWith("*");
        boolean otherOrdered = !other.startsWith("*");
        if (ordered != otherOrdered) {
            return ordered;
        }
        return ordered ? source.compareTo(other) < 0 : other.equals(EventSource.SETTINGS);
    }

    /**
     * Returns the more restrictive of two states. Gone is more restrictive than draining, which is
     * more restrictive than ready.
     */
    static EndpointState mostRestrictive(EndpointState state, EndpointState other) {
        if (state == EndpointState.GONE || other == EndpointState.GONE) {
            return EndpointState.GONE;
        }
        return state == EndpointState.DRAINING || other == EndpointState.DRAINING
                ? EndpointState.DRAINING
                : EndpointState.READY;
    }
}
