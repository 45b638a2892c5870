package brooklock.membership;

import brooklock.membership.UpdateResult.Status;
import brooklock.routing.EndpointState;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.PSortedMap;
import org.pcollections.TreePMap;

/**
 * Which hosts are in force, out of what sources and operators say. Pure: no I/O, no clock.
 *
 * <p>Each source has an order of its own, and the later arrival is not the newer notice: an older
 * one changes nothing, a gap asks for a full list, an epoch that has ended does not come back.
 * Between sources there is no order, so none is made up: a host is in force as the tightest word
 * any source has for it (gone, draining, ready), so that the result does not hang on whose notice
 * came first. What is said by hand is one more word on that one host, in force until it is taken
 * back by hand. A host that nobody has a word for any more is gone.
 */
public final class Membership {
    /** Sources with an order that are remembered; a further one is refused. */
    public static final int MAX_SOURCES = 16;

    /** All of it at one moment. */
    public record State(
            PMap<String, EventSource> sources,
            PMap<Long, EndpointState> overrides,
            PSortedMap<Long, ListedEndpoint> endpoints) {
        /** Nobody has said anything. */
        public static final State EMPTY =
                new State(HashTreePMap.empty(), HashTreePMap.empty(), TreePMap.empty());
    }

    private final Set<String> zones;
    private State state = State.EMPTY;

    /** Nothing in force; hosts in other zones than these will be refused. */
    public Membership(List<String> zones) {
        this.zones = Set.copyOf(zones);
    }

    /** What is in force now; does not change any more. */
    public State state() {
        return state;
    }

    // ---- Notices

    /** Takes a notice whole or not at all. */
    public UpdateResult apply(long wallMs, WatchEvent n) {
        for (ListedEndpoint m : n.endpoints()) {
            if (!zones.contains(m.zone())) {
                return UpdateResult.unchanged(
                        Status.REFUSED,
                        "host '" + m.name() + "': there is no zone '" + m.zone() + "'");
            }
        }
        String name = n.version() == null ? EventSource.UNVERSIONED : n.version().source();
        EventSource before = state.sources.getOrDefault(name, EventSource.initial(name));
        UpdateResult no = n.version() == null ? null : checkOrder(before, n);
        if (no != null) {
            if (no.status() == Status.REPEATED) {
                state =
                        new State(
                                state.sources.plus(name, before.withLastHeard(wallMs)),
                                state.overrides,
                                state.endpoints);
            }
            return no;
        }
        long ordered = state.sources.values().stream().filter(EventSource::isOrdered).count();
        if (!state.sources.containsKey(name) && n.version() != null && ordered >= MAX_SOURCES) {
            return UpdateResult.unchanged(
                    Status.REFUSED,
                    "there are " + MAX_SOURCES + " sources already; forget one first");
        }
        PMap<String, EventSource> sources = state.sources.plus(name, before.withEvent(n, wallMs));
        if (n.full()) {
            sources = sources.minus(EventSource.SETTINGS);
        }
        return commit(
                sources,
                state.overrides,
                n.full() ? null : n.endpoints().stream().map(ListedEndpoint::id).toList(),
                sources.get(name).toString());
    }

    // Null where it is next in its source's order.
    private static UpdateResult checkOrder(EventSource before, WatchEvent n) {
        EventVersion s = n.version();
        String inForce =
                before.epoch() == 0
                        ? "source " + s.source() + " has said nothing yet"
                        : before.toString();
        if (s.epoch() < before.epoch()) {
            return UpdateResult.unchanged(Status.OLD_EPOCH, inForce);
        }
        if (s.epoch() > before.epoch()) {
            return n.full() ? null : UpdateResult.unchanged(Status.GAP, inForce);
        }
        if (s.sequence() < before.sequence()) {
            return UpdateResult.unchanged(Status.OLDER, inForce);
        }
        if (s.sequence() == before.sequence()) {
            return UpdateResult.unchanged(
                    n.full() && !before.hasSameEndpoints(n) ? Status.CONFLICT : Status.REPEATED,
                    inForce);
        }
        // One from before what is in force won't do either: a host that changed and changed back is
        // not in it.
        return n.full() || s.baseSequence() == before.sequence()
                ? null
                : UpdateResult.unchanged(Status.GAP, inForce);
    }

    /** The hosts of the settings: in force until a source gives a full list. */
    public UpdateResult applySettings(long wallMs, List<ListedEndpoint> hosts) {
        EventSource s =
                EventSource.initial(EventSource.SETTINGS)
                        .withEvent(WatchEvent.unversioned(true, hosts), wallMs);
        return commit(
                state.sources.plus(EventSource.SETTINGS, s), state.overrides, null, s.toString());
    }

    /** Goes on from what was saved; hosts in zones that are not known any more are left out. */
    public UpdateResult restore(State saved) {
        PMap<String, EventSource> sources = saved.sources;
        for (EventSource s : saved.sources.values()) {
            PSortedMap<Long, ListedEndpoint> words = s.endpoints();
            for (ListedEndpoint m : s.endpoints().values()) {
                words = zones.contains(m.zone()) ? words : words.minus(m.id());
            }
            sources =
                    sources.plus(
                            s.name(),
                            new EventSource(
                                    s.name(), s.epoch(), s.sequence(), s.lastHeardMs(), words));
        }
        return commit(sources, saved.overrides, null, "as saved");
    }

    // ---- By hand

    /** An operator's word on one host; ready takes back what was said by hand before. */
    public UpdateResult setOverride(String host, EndpointState word) {
        ListedEndpoint m = findByName(host);
        if (m == null) {
            return UpdateResult.unchanged(
                    Status.UNKNOWN, "no host of the name '" + host + "' is on the list");
        }
        PMap<Long, EndpointState> words =
                word == EndpointState.READY
                        ? state.overrides.minus(m.id())
                        : state.overrides.plus(m.id(), word);
        UpdateResult a = commit(state.sources, words, List.of(m.id()), "");
        if (!a.applied()) {
            return a;
        }
        EndpointState now = state.endpoints.get(m.id()).state();
        String says = host + " is " + now.name().toLowerCase(java.util.Locale.ROOT);
        return new UpdateResult(
                word == EndpointState.READY && now != word ? Status.HELD : Status.TAKEN,
                now == word ? says : says + ", as " + nameHolderOf(m.id(), now) + " says",
                a.affected(),
                false);
    }

    private ListedEndpoint findByName(String host) {
        return state.endpoints.values().stream()
                .filter(m -> m.name().equals(host))
                .findFirst()
                .orElse(null);
    }

    private String nameHolderOf(long id, EndpointState word) {
        return state.sources.values().stream()
                .filter(s -> s.endpoints().containsKey(id) && s.endpoints().get(id).state() == word)
                .map(EventSource::toString)
                .findFirst()
                .orElse("nobody else");
    }

    /**
     * A source's order begins anew: its next full list is taken whatever its epoch; what it said
     * stays in force.
     */
    public UpdateResult resetSource(String source) {
        EventSource s = source == null ? null : state.sources.get(source);
        if (s == null || !s.isOrdered()) {
            return UpdateResult.unchanged(
                    Status.UNKNOWN, "no source of the name '" + source + "' has been heard");
        }
        state =
                new State(
                        state.sources.plus(
                                source,
                                new EventSource(source, 0, 0, s.lastHeardMs(), s.endpoints())),
                        state.overrides,
                        state.endpoints);
        return new UpdateResult(
                Status.TAKEN, "its next full list is taken whatever its epoch", List.of(), false);
    }

    /** A source and all it said are forgotten: hosts that it alone named are gone. */
    public UpdateResult forgetSource(String source) {
        if (source == null || !state.sources.containsKey(source)) {
            return UpdateResult.unchanged(
                    Status.UNKNOWN, "no source of the name '" + source + "' has been heard");
        }
        return commit(state.sources.minus(source), state.overrides, null, source + " is forgotten");
    }

    // ---- What is in force

    // Puts the words together and takes them if the whole fits; told are the given hosts, or all
    // where null.
    private UpdateResult commit(
            PMap<String, EventSource> sources,
            PMap<Long, EndpointState> byHand,
            List<Long> about,
            String why) {
        PSortedMap<Long, ListedEndpoint> next = state.endpoints;
        for (Long id : about == null ? allEndpointIds(sources) : about) {
            ListedEndpoint m = merge(sources, byHand, id);
            next = m == null ? next : next.plus(id, m);
        }
        if (next.size() > EndpointListCodec.MAX_ENDPOINTS) {
            for (ListedEndpoint m : next.values()) {
                next = m.state() == EndpointState.GONE ? next.minus(m.id()) : next;
            }
        }
        if (next.size() > EndpointListCodec.MAX_ENDPOINTS) {
            return UpdateResult.unchanged(
                    Status.REFUSED,
                    "the list would hold over " + EndpointListCodec.MAX_ENDPOINTS + " hosts");
        }
        PMap<Long, EndpointState> words = byHand;
        for (Long id : byHand.keySet()) {
            words = next.containsKey(id) ? words : words.minus(id);
        }
        state = new State(sources, words, next);
        List<ListedEndpoint> told = new ArrayList<>();
        if (about == null) {
            told.addAll(next.values());
        } else {
            for (Long id : about) {
                if (next.containsKey(id)) {
                    told.add(next.get(id));
                }
            }
        }
        return new UpdateResult(Status.TAKEN, why, List.copyOf(told), about == null);
    }

    private Set<Long> allEndpointIds(PMap<String, EventSource> sources) {
        Set<Long> all = new HashSet<>(state.endpoints.keySet());
        sources.values().forEach(s -> all.addAll(s.endpoints().keySet()));
        return all;
    }

    // Address, weight and place by the source that comes first by name (settings last); the latest
    // start of any.
    private ListedEndpoint merge(
            PMap<String, EventSource> sources, PMap<Long, EndpointState> byHand, Long id) {
        ListedEndpoint first = null;
        String firstBy = null;
        EndpointState tightest = EndpointState.READY;
        long started = 0;
        for (Map.Entry<String, EventSource> e : sources.entrySet()) {
            ListedEndpoint m = e.getValue().endpoints().get(id);
            if (m == null) {
                continue;
            }
            if (first == null || takesPrecedence(e.getKey(), firstBy)) {
                first = m;
                firstBy = e.getKey();
            }
            tightest = mostRestrictive(tightest, m.state());
            started = Math.max(started, m.startedMs());
        }
        if (first == null) {
            ListedEndpoint known = state.endpoints.get(id);
            return known == null ? null : known.withState(EndpointState.GONE);
        }
        return new ListedEndpoint(
                first.name(),
                first.id(),
                first.kind(),
                first.zone(),
                first.address(),
                mostRestrictive(tightest, byHand.getOrDefault(id, EndpointState.READY)),
                first.weight(),
                started);
    }

    private static boolean takesPrecedence(String a, String b) {
        boolean plain = !a.startsWith("*");
        boolean otherPlain = !b.startsWith("*");
        return plain != otherPlain
                ? plain
                : plain ? a.compareTo(b) < 0 : b.equals(EventSource.SETTINGS);
    }

    /** The tighter of two words: gone before draining before ready. */
    static EndpointState mostRestrictive(EndpointState a, EndpointState b) {
        return a == EndpointState.GONE || b == EndpointState.GONE
                ? EndpointState.GONE
                : a == EndpointState.DRAINING || b == EndpointState.DRAINING
                        ? EndpointState.DRAINING
                        : EndpointState.READY;
    }
}
