package brooklock.platform;

import brooklock.routing.Endpoint;
import brooklock.routing.EndpointListKind;
import brooklock.routing.EndpointState;
import brooklock.routing.RouterEvent.EndpointListReceived;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongUnaryOperator;
import java.util.zip.CRC32;

/**
 * The hosts by name and by the number that the module knows them by. A number comes from the name
 * alone, so that every dispatcher hashes alike, also after a restart. Pure.
 */
final class EndpointTable {
    private static final long MAX_ID = 0xffffffffL;

    /** A host as it stands in the list. */
    static final class Entry {
        final String name;
        final long id;
        InetSocketAddress address;
        Endpoint listing;
        private long startedAtMs;

        private Entry(String name, long id) {
            this.name = name;
            this.id = id;
        }

        /** Whether it has left. */
        boolean isGone() {
            return listing.state() == EndpointState.GONE;
        }
    }

    private final List<String> zones;
    private final List<String> kinds;
    private final LongUnaryOperator toRouterTime;
    private final Map<String, Entry> byName = new HashMap<>();
    private final Map<Long, Entry> byId = new HashMap<>();

    /**
     * A table whose start times are turned into the module's time, once each, by the last argument.
     */
    EndpointTable(List<String> zones, List<String> kinds, LongUnaryOperator toRouterTime) {
        this.zones = zones;
        this.kinds = kinds;
        this.toRouterTime = toRouterTime;
    }

    /**
     * Takes news; gives what the module is told of them. Entries that name no known zone, kind or
     * state are left out.
     */
    EndpointListReceived apply(DiscoveryEvent.EndpointListUpdate update) {
        List<Endpoint> listings = new ArrayList<>();
        List<String> listedNames = new ArrayList<>();
        for (DiscoveryEvent.Endpoint endpoint : update.endpoints()) {
            listedNames.add(endpoint.name());
            Endpoint listing = updateEntry(endpoint);
            if (listing != null) {
                listings.add(listing);
            }
        }
        if (update.snapshot()) {
            byName.values().stream()
                    .filter(entry -> !listedNames.contains(entry.name))
                    .forEach(entry -> entry.listing = asGone(entry.listing));
        }
        return new EndpointListReceived(
                update.snapshot() ? EndpointListKind.FULL : EndpointListKind.DELTA, listings);
    }

    private Endpoint updateEntry(DiscoveryEvent.Endpoint endpoint) {
        EndpointState state =
                switch (endpoint.status()) {
                    case "active" -> EndpointState.READY;
                    case "leaving" -> EndpointState.DRAINING;
                    case "left" -> EndpointState.GONE;
                    default -> null;
                };
        Entry entry = byName.get(endpoint.name());
        int zone = zones.isEmpty() ? 0 : zones.indexOf(endpoint.zone());
        int kind = kinds.indexOf(endpoint.type());
        InetSocketAddress address = parseAddressOrNull(endpoint);
        if (state == EndpointState.GONE
                && entry != null
                && (zone < 0 || kind < 0 || address == null)) {
            entry.listing = asGone(entry.listing);
            return entry.listing;
        }
        if (state == null || zone < 0 || kind < 0 || address == null) {
            return null;
        }
        if (entry == null) {
            entry = new Entry(endpoint.name(), allocateId(endpoint.name()));
            byName.put(entry.name, entry);
            byId.put(entry.id, entry);
        }
        long startedAtNs =
                endpoint.startedAtMs() == 0
                        ? 0
                        : entry.listing != null && entry.startedAtMs == endpoint.startedAtMs()
                                ? entry.listing.startedAtNs()
                                : toRouterTime.applyAsLong(endpoint.startedAtMs());
        entry.startedAtMs = endpoint.startedAtMs();
        entry.address = address;
        entry.listing = new Endpoint(entry.id, zone, kind, state, endpoint.weight(), startedAtNs);
        return entry.listing;
    }

    // One entry that can't be read must not take the others of its list with it.
    private static InetSocketAddress parseAddressOrNull(DiscoveryEvent.Endpoint endpoint) {
        try {
            return PlatformConfig.parseAddress(endpoint.address());
        } catch (IllegalArgumentException none) {
            return null;
        }
    }

    private static Endpoint asGone(Endpoint listing) {
        return new Endpoint(
                listing.id(),
                listing.zone(),
                listing.kind(),
                EndpointState.GONE,
                listing.weight(),
                listing.startedAtNs());
    }

    private long allocateId(String name) {
        CRC32 crc = new CRC32();
        crc.update(name.getBytes(StandardCharsets.UTF_8));
        long id = crc.getValue();
        while (id == 0 || byId.containsKey(id)) {
            id = id + 1 & MAX_ID;
        }
        return id;
    }

    /** A host by its number, or null. */
    Entry get(long id) {
        return byId.get(id);
    }

    /** All that are known. */
    Iterable<Entry> all() {
        return byName.values();
    }

    /** How many have not left. */
    int presentCount() {
        return (int) byName.values().stream().filter(entry -> !entry.isGone()).count();
    }

    /** Forgets a host that has left. */
    void remove(Entry entry) {
        byName.remove(entry.name);
        byId.remove(entry.id);
    }
}
