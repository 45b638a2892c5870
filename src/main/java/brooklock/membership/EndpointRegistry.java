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
 * The endpoint list in force, shared between threads, and its translation into events of the
 * router.
 *
 * <p>{@link #apply} and the translations are called on the routing thread only, which owns the
 * {@link Membership}. Any thread may call the other methods: they read the snapshot that the last
 * change published.
 */
public final class EndpointRegistry {
    /** The start of one endpoint, as the list states it. */
    private record Start(long endpointId, long startedMs) {}

    private final List<String> zones;
    private final LongUnaryOperator wallMsToRoutingNs;
    private final Map<Start, Long> startTimesNs = new HashMap<>();
    private final Membership membership;
    private volatile Membership.State state = Membership.State.EMPTY;

    /**
     * Creates an empty registry.
     *
     * @param zones names of the zones, in the order of the router's zone numbers
     * @param wallMsToRoutingNs converts wall time, in ms since 1970, to the router's clock, in ns
     */
    public EndpointRegistry(List<String> zones, LongUnaryOperator wallMsToRoutingNs) {
        this.zones = zones;
        this.wallMsToRoutingNs = wallMsToRoutingNs;
        membership = new Membership(zones);
    }

    /** A change of the list. */
    public interface Change {
        /** Makes the change, on the routing thread. */
        UpdateResult apply(Membership membership);
    }

    /** Makes a change and publishes the new snapshot before it returns. */
    public UpdateResult apply(Change change) {
        UpdateResult result = change.apply(membership);
        state = membership.state();
        return result;
    }

    /**
     * Returns the event that announces an update to the router; empty if the update has changed
     * nothing.
     */
    public Optional<EndpointListReceived> toListEvent(
            UpdateResult result, EndpointListKind kind) {
        return result.affected().isEmpty() && !result.coversWholeList()
                ? Optional.empty()
                : Optional.of(translate(result.affected(), kind));
    }

    /** Returns an event with every endpoint in force. */
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

    // Each start is converted once: if the wall clock is set between two events, a second
    // conversion would give another time, and the router would take it for a restart.
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

    /** The state in force; immutable. */
    public Membership.State state() {
        return state;
    }

    /** The endpoints in force by id, with those that are gone; immutable. */
    public Map<Long, ListedEndpoint> endpoints() {
        return state.endpoints();
    }

    /** Returns an endpoint by its id, or null if it is not known. */
    public ListedEndpoint find(long id) {
        return state.endpoints().get(id);
    }

    /** Whether an endpoint may get requests and be named as a fill source. */
    public boolean isReady(long id) {
        ListedEndpoint endpoint = find(id);
        return endpoint != null && endpoint.state() == EndpointState.READY;
    }
}
