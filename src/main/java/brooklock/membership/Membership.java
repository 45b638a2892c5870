package brooklock.membership;

import brooklock.membership.UpdateResult.Status;
import brooklock.routing.EndpointState;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.PSortedMap;
import org.pcollections.TreePMap;

/**
 * Maintains the endpoint list in force, merged from watch events and operator overrides by the
 * rules in the description of this package. Performs no I/O and reads no clock. Not thread-safe,
 * but the {@link State} that it returns is immutable.
 */
public final class Membership {
    /** Maximum number of versioned sources; events of a further source are rejected. */
    public static final int MAX_SOURCES = 16;

    /**
     * An immutable snapshot of the membership.
     *
     * @param sources the sources by name
     * @param overrides the states that operators have set, by endpoint id; never {@link
     *     EndpointState#READY}
     * @param endpoints the endpoints in force by id; those that are gone remain until the limit of
     *     the list is reached, because attempts to them may still be in flight
     */
    public record State(
            PMap<String, EventSource> sources,
            PMap<Long, EndpointState> overrides,
            PSortedMap<Long, ListedEndpoint> endpoints) {
        /** The state in which no source has sent an event. */
        public static final State EMPTY =
                new State(HashTreePMap.empty(), HashTreePMap.empty(), TreePMap.empty());
    }

    private final Set<String> zones;
    private State state = State.EMPTY;

    /**
     * Creates a new membership without sources or endpoints.
     *
     * @param zones names of the zones; an event with an endpoint of another zone is rejected
     */
    public Membership(List<String> zones) {
        this.zones = Set.copyOf(zones);
    }

    /** Returns the current state, which is immutable. */
    public State state() {
        return state;
    }

    // ---- Watch events

    /**
     * Applies an event atomically: if it is rejected, the endpoints in force do not change.
     *
     * @param wallMs wall time at which the event arrived, in ms since 1970; kept for display only
     */
    public UpdateResult apply(long wallMs, WatchEvent event) {
        for (ListedEndpoint endpoint : event.endpoints()) {
            if (!zones.contains(endpoint.zone())) {
                return UpdateResult.unchanged(
                        Status.REJECTED,
                        "host '"
                                + endpoint.name()
                                + "': there is no zone '"
                                + endpoint.zone()
                                + "'");
            }
        }
        boolean versioned = event.version() != null;
        String name = versioned ? event.version().source() : EventSource.UNVERSIONED;
        EventSource before = state.sources.getOrDefault(name, EventSource.initial(name));
        if (versioned) {
            Optional<UpdateResult> rejection = EventOrder.check(before, event);
            if (rejection.isPresent()) {
                if (rejection.get().status() == Status.DUPLICATE) {
                    replaceSource(before.withLastEventMs(wallMs));
                }
                return rejection.get();
            }
            if (!state.sources.containsKey(name) && countOrderedSources() >= MAX_SOURCES) {
                return UpdateResult.unchanged(
                        Status.REJECTED,
                        "there are " + MAX_SOURCES + " sources already; forget one first");
            }
        }
        EventSource after = before.withEvent(event, wallMs);
        PMap<String, EventSource> sources = state.sources.plus(name, after);
        if (event.full()) {
            return commitAll(
                    sources.minus(EventSource.SETTINGS), state.overrides, after.toString());
        }
        List<Long> changed = event.endpoints().stream().map(ListedEndpoint::id).toList();
        return commit(sources, state.overrides, changed, false, after.toString());
    }

    private long countOrderedSources() {
        return state.sources.values().stream().filter(EventSource::isOrdered).count();
    }

    private void replaceSource(EventSource source) {
        state =
                new State(
                        state.sources.plus(source.name(), source),
                        state.overrides,
                        state.endpoints);
    }

    /**
     * Applies the endpoints of the settings, which are in force until a source sends a full list.
     *
     * @param wallMs current wall time, in ms since 1970; kept for display only
     */
    public UpdateResult applySettings(long wallMs, List<ListedEndpoint> endpoints) {
        EventSource settings =
                EventSource.initial(EventSource.SETTINGS)
                        .withEvent(WatchEvent.unversioned(true, endpoints), wallMs);
        return commitAll(
                state.sources.plus(EventSource.SETTINGS, settings),
                state.overrides,
                settings.toString());
    }

    /** Restores a saved state. Endpoints in zones that no longer exist are left out. */
    public UpdateResult restore(State saved) {
        PMap<String, EventSource> sources = saved.sources;
        for (EventSource source : saved.sources.values()) {
            PSortedMap<Long, ListedEndpoint> retained = source.endpoints();
            for (ListedEndpoint endpoint : source.endpoints().values()) {
                if (!zones.contains(endpoint.zone())) {
                    retained = retained.minus(endpoint.id());
                }
            }
            sources = sources.plus(source.name(), source.withEndpoints(retained));
        }
        return commitAll(sources, saved.overrides, "as saved");
    }

    // ---- Operator commands

    /**
     * Sets an operator's override on one endpoint. {@link EndpointState#READY} withdraws the
     * override, after which the sources alone determine the endpoint's state.
     */
    public UpdateResult setOverride(String endpointName, EndpointState override) {
        Optional<ListedEndpoint> found =
                state.endpoints.values().stream()
                        .filter(endpoint -> endpoint.name().equals(endpointName))
                        .findFirst();
        if (found.isEmpty()) {
            return UpdateResult.unchanged(
                    Status.UNKNOWN, "no host of the name '" + endpointName + "' is on the list");
        }
        long id = found.get().id();
        PMap<Long, EndpointState> overrides =
                override == EndpointState.READY
                        ? state.overrides.minus(id)
                        : state.overrides.plus(id, override);
        UpdateResult result = commit(state.sources, overrides, List.of(id), false, "");
        if (!result.applied()) {
            return result;
        }
        EndpointState currentState = state.endpoints.get(id).state();
        String detail = endpointName + " is " + currentState.name().toLowerCase(Locale.ROOT);
        if (currentState == override) {
            return new UpdateResult(Status.APPLIED, detail, result.affected(), false);
        }
        return new UpdateResult(
                override == EndpointState.READY ? Status.STILL_RESTRICTED : Status.APPLIED,
                detail + ", as " + sourceOfState(id, currentState) + " says",
                result.affected(),
                false);
    }

    private String sourceOfState(long id, EndpointState endpointState) {
        return state.sources.values().stream()
                .filter(source -> source.endpoints().containsKey(id))
                .filter(source -> source.endpoints().get(id).state() == endpointState)
                .map(EventSource::toString)
                .findFirst()
                .orElse("nobody else");
    }

    /**
     * Resets the order of a source, so that its next full list is accepted with any epoch. The
     * source's endpoints stay in force.
     */
    public UpdateResult resetSource(String sourceName) {
        EventSource source = sourceName == null ? null : state.sources.get(sourceName);
        if (source == null || !source.isOrdered()) {
            return unknownSource(sourceName);
        }
        replaceSource(source.withOrderReset());
        return new UpdateResult(
                Status.APPLIED, "its next full list is taken whatever its epoch", List.of(), false);
    }

    /**
     * Removes a source and all its endpoint descriptions. Endpoints that no other source names
     * become gone.
     */
    public UpdateResult forgetSource(String sourceName) {
        if (sourceName == null || !state.sources.containsKey(sourceName)) {
            return unknownSource(sourceName);
        }
        return commitAll(
                state.sources.minus(sourceName), state.overrides, sourceName + " is forgotten");
    }

    private static UpdateResult unknownSource(String sourceName) {
        return UpdateResult.unchanged(
                Status.UNKNOWN, "no source of the name '" + sourceName + "' has been heard");
    }

    // ---- Merging

    private UpdateResult commitAll(
            PMap<String, EventSource> sources, PMap<Long, EndpointState> overrides, String detail) {
        Set<Long> allIds = new HashSet<>(state.endpoints.keySet());
        sources.values().forEach(source -> allIds.addAll(source.endpoints().keySet()));
        return commit(sources, overrides, allIds, true, detail);
    }

    /**
     * Merges the changed endpoints and replaces the state, unless the list would exceed {@link
     * EndpointListCodec#MAX_ENDPOINTS}.
     *
     * @param changed ids of the endpoints to merge
     * @param coversWholeList whether {@code changed} contains every endpoint
     * @param detail text for the sender of the update
     */
    private UpdateResult commit(
            PMap<String, EventSource> sources,
            PMap<Long, EndpointState> overrides,
            Collection<Long> changed,
            boolean coversWholeList,
            String detail) {
        PSortedMap<Long, ListedEndpoint> next = state.endpoints;
        for (Long id : changed) {
            EndpointState override = overrides.getOrDefault(id, EndpointState.READY);
            Optional<ListedEndpoint> merged = EndpointMerge.merge(id, sources, override);
            if (merged.isPresent()) {
                next = next.plus(id, merged.get());
            } else if (state.endpoints.containsKey(id)) {
                next = next.plus(id, state.endpoints.get(id).withState(EndpointState.GONE));
            }
        }
        if (next.size() > EndpointListCodec.MAX_ENDPOINTS) {
            next = EventSource.withoutGone(next);
        }
        if (next.size() > EndpointListCodec.MAX_ENDPOINTS) {
            return UpdateResult.unchanged(
                    Status.REJECTED,
                    "the list would hold over " + EndpointListCodec.MAX_ENDPOINTS + " hosts");
        }
        state = new State(sources, retainListedOverrides(next, overrides), next);
        List<ListedEndpoint> affected = new ArrayList<>();
        for (Long id : coversWholeList ? next.keySet() : changed) {
            if (next.containsKey(id)) {
                affected.add(next.get(id));
            }
        }
        return new UpdateResult(Status.APPLIED, detail, List.copyOf(affected), coversWholeList);
    }

    // Drops the overrides of endpoints that are no longer listed; they would otherwise accumulate
    // and could not be saved, because the endpoint's name is found only in the list.
    private static PMap<Long, EndpointState> retainListedOverrides(
            PSortedMap<Long, ListedEndpoint> endpoints, PMap<Long, EndpointState> overrides) {
        PMap<Long, EndpointState> kept = overrides;
        for (Long id : overrides.keySet()) {
            if (!endpoints.containsKey(id)) {
                kept = kept.minus(id);
            }
        }
        return kept;
    }
}
