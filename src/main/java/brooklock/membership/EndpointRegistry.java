package brooklock.membership;

import brooklock.routing.Endpoint;
import brooklock.routing.EndpointListKind;
import brooklock.routing.EndpointState;
import brooklock.routing.RouterEvent.EndpointListReceived;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongUnaryOperator;

/**
 * Publishes the endpoint list in force to all threads and translates it into events for the router.
 *
 * <p>{@link #apply}, {@link #toListEvent} and {@link #fullListEvent} may be called on the routing
 * thread only, which owns the {@link Membership}. The other methods may be called on any thread;
 * they read the snapshot that the last change published.
 */
public final class EndpointRegistry {
    /** Identifies one start of an endpoint by the wall time that the endpoint list states. */
    private record Start(long endpointId, long startedMs) {}

    private final List<String> zones;
    private final LongUnaryOperator wallMsToRoutingNs;
    private final Map<Start, Long> startTimesNs = new HashMap<>();
    private final Membership membership;
    private volatile Membership.State state = Membership.State.EMPTY;

    /**
     * Creates a new, empty registry.
     *
     * @param zones names of the zones, in the order of the router's zone numbers
     * @param wallMsToRoutingNs converts a wall time, in ms since 1970, to the router's clock, in ns
     */
    public EndpointRegistry(List<String> zones, LongUnaryOperator wallMsToRoutingNs) {
        this.zones = zones;
        this.wallMsToRoutingNs = wallMsToRoutingNs;
        membership = new Membership(zones);
    }

    /** A change of the endpoint list, such as a watch event or an operator command. */
    public interface Change {
        /** Applies the change to the membership; called on the routing thread. */
        UpdateResult apply(Membership membership);
    }

    /** Applies a change and publishes the new snapshot before it returns. */
    public UpdateResult apply(Change change) {
        UpdateResult result = change.apply(membership);
        state = membership.state();
        return result;
    }

    /**
     * Returns the event that announces an update to the router, or empty if the update changed
     * nothing.
     *
     * @param result the result of the update
     * @param kind how the router is to interpret the list
     */
    public Optional<EndpointListReceived> toListEvent(UpdateResult result, EndpointListKind kind) {
        return result.affected().isEmpty() && !result.coversWholeList()
                ? Optional.empty()
                : Optional.of(translate(result.affected(), kind));
    }

    /** Returns a router event that contains every endpoint in force. */
    public EndpointListReceived fullListEvent(EndpointListKind kind) {
        return translate(endpoints().values(), kind);
    }

    private EndpointListReceived translate(Iterable<ListedEndpoint> listed, EndpointListKind kind) {
        startTimesNs.keySet().removeIf(start -> !isCurrent(start));
        List<Endpoint> translated = new ArrayList<>();
        for (ListedEndpoint endpoint : listed) {
            int zone = zones.indexOf(endpoint.zone());
            if (zone >= 0) {
                translated.add(
                        new Endpoint(
                                endpoint.id(),
                                zone,
                                endpoint.kind().number(),
                                endpoint.state(),
                                endpoint.weight(),
                                startedAtNs(endpoint)));
            }
        }
        return new EndpointListReceived(kind, translated);
    }

    // Each start is converted only once. If the wall clock were set between two events, a second
    // conversion would yield a different time, which the router would treat as a restart.
    private long startedAtNs(ListedEndpoint endpoint) {
        if (endpoint.startedMs() == 0) {
            return 0;
        }
        return startTimesNs.computeIfAbsent(
                new Start(endpoint.id(), endpoint.startedMs()),
                start -> wallMsToRoutingNs.applyAsLong(start.startedMs()));
    }

    private boolean isCurrent(Start start) {
        ListedEndpoint endpoint = find(start.endpointId());
        return endpoint != null && endpoint.startedMs() == start.startedMs();
    }

    /** Returns the state in force, which is immutable. */
    public Membership.State state() {
        return state;
    }

    /** Returns the endpoints in force by id, including those that are gone; immutable. */
    public Map<Long, ListedEndpoint> endpoints() {
        return state.endpoints();
    }

    /** Returns the endpoint with the given id, or null if it is not known. */
    public ListedEndpoint find(long id) {
        return state.endpoints().get(id);
    }

    /** Returns whether an endpoint may receive requests and be used as a fill source. */
    public boolean isReady(long id) {
        ListedEndpoint endpoint = find(id);
        return endpoint != null && endpoint.state() == EndpointState.READY;
    }
}
