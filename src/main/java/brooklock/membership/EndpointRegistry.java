package brooklock.membership;

import brooklock.routing.Endpoint;
import brooklock.routing.EndpointListKind;
import brooklock.routing.EndpointState;
import brooklock.routing.RouterEvent.EndpointListReceived;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongUnaryOperator;

/**
 * The list in force and what the module is told of it. Written by one thread; readers take an
 * immutable snapshot. A host once named stays known, as gone, until room is needed, since attempts
 * to it may still be out.
 */
public final class EndpointRegistry {
    private final List<String> zones;
    private final LongUnaryOperator wallMsToRoutingNs;
    private final Map<String, Long> startTimesNs = new HashMap<>();
    private final Membership membership;
    private volatile Membership.State state = Membership.State.EMPTY;

    /**
     * An empty book.
     *
     * @param zones names of the locations, in the module's order
     * @param moduleTime turns wall time, ms since 1970, into the module's clock, ns
     */
    public EndpointRegistry(List<String> zones, LongUnaryOperator wallMsToRoutingNs) {
        this.zones = zones;
        this.wallMsToRoutingNs = wallMsToRoutingNs;
        membership = new Membership(zones);
    }

    /** An order or a word for the core, given on the thread that writes. */
    public interface Change {
        /** What came of it. */
        UpdateResult apply(Membership membership);
    }

    /** Makes a change; the snapshot is the new one when this returns. */
    public UpdateResult apply(Change c) {
        UpdateResult a = c.apply(membership);
        state = membership.state();
        return a;
    }

    /** What the module is told of an answer; null where there is no news. */
    public EndpointListReceived toEndpointList(UpdateResult a, EndpointListKind kind) {
        if (a.affected().isEmpty() && !a.complete()) {
            return null;
        }
        startTimesNs.keySet().removeIf(s -> !isCurrentStart(s));
        List<Endpoint> entries = new ArrayList<>();
        for (ListedEndpoint m : a.affected()) {
            int zone = zones.indexOf(m.zone());
            if (zone >= 0) {
                entries.add(
                        new Endpoint(
                                m.id(),
                                zone,
                                m.kind().ordinal(),
                                m.state(),
                                m.weight(),
                                startedAtNs(m)));
            }
        }
        return new EndpointListReceived(kind, entries);
    }

    /** All that is in force, as the module is told of it. */
    public EndpointListReceived fullEndpointList(EndpointListKind kind) {
        return toEndpointList(
                new UpdateResult(
                        UpdateResult.Status.TAKEN, "", List.copyOf(endpoints().values()), true),
                kind);
    }

    // A start is turned into the module's time once: if the wall clock is set meanwhile, the same
    // start stays the same.
    private long startedAtNs(ListedEndpoint m) {
        return m.startedMs() == 0
                ? 0
                : startTimesNs.computeIfAbsent(
                        m.id() + "@" + m.startedMs(),
                        k -> wallMsToRoutingNs.applyAsLong(m.startedMs()));
    }

    private boolean isCurrentStart(String start) {
        ListedEndpoint m = find(Long.parseLong(start.substring(0, start.indexOf('@'))));
        return m != null && start.endsWith("@" + m.startedMs());
    }

    /** All of it now; does not change any more. */
    public Membership.State state() {
        return state;
    }

    /** The list now; does not change any more. */
    public Map<Long, ListedEndpoint> endpoints() {
        return state.endpoints();
    }

    /** A host by its number, or null. */
    public ListedEndpoint find(long id) {
        return state.endpoints().get(id);
    }

    /** Whether a host may be sent requests and be named as a source. */
    public boolean isReady(long id) {
        ListedEndpoint m = find(id);
        return m != null && m.state() == EndpointState.READY;
    }
}
