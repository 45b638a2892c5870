package brooklock.platform;

import brooklock.routing.Endpoint;
import brooklock.routing.EndpointListKind;
import brooklock.routing.EndpointState;
import brooklock.routing.RouterEvent.EndpointListReceived;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.function.LongUnaryOperator;
import java.util.zip.CRC32;

/**
 * The endpoint list, by name and by the id under which the router knows each endpoint. Pure; owned
 * by the I/O thread.
 *
 * <p>An id is the checksum of the name, so that all dispatchers hash alike, also after a restart.
 * If two names have the same checksum, which is not expected, the one that comes later gets the
 * next free id; another dispatcher may give it another.
 */
final class DiscoveredEndpointTable {
    private static final long MAX_ID = 0xffffffffL;

    /** An endpoint as the list has it. */
    static final class Entry {
        private final String name;
        private final long id;
        private InetSocketAddress address;
        private Endpoint listing;
        private long startedAtMs;

        private Entry(String name, long id) {
            this.name = name;
            this.id = id;
        }

        String name() {
            return name;
        }

        /** Returns the router's id of it. */
        long id() {
            return id;
        }

        /** Returns where it listens. */
        InetSocketAddress address() {
            return address;
        }

        /** Returns it as the router knows it. */
        Endpoint listing() {
            return listing;
        }

        /** Returns whether it has left the list. */
        boolean isGone() {
            return listing.state() == EndpointState.GONE;
        }

        private void markGone() {
            listing =
                    new Endpoint(
                            listing.id(),
                            listing.zone(),
                            listing.kind(),
                            EndpointState.GONE,
                            listing.weight(),
                            listing.startedAtNs());
        }
    }

    private final List<String> zones;
    private final List<String> kinds;
    private final LongUnaryOperator toRouterTimeNs;
    private final Map<String, Entry> byName = new HashMap<>();
    private final Map<Long, Entry> byId = new HashMap<>();

    /**
     * Creates an empty table.
     *
     * @param zones the names of the zones, by the router's index; empty if there is one zone only
     * @param kinds the names of the kinds of endpoint, by the router's index
     * @param toRouterTimeNs turns Unix milliseconds into the router's clock; called once for each
     *     start of an endpoint, so that later lists name the same time
     */
    DiscoveredEndpointTable(
            List<String> zones, List<String> kinds, LongUnaryOperator toRouterTimeNs) {
        this.zones = zones;
        this.kinds = kinds;
        this.toRouterTimeNs = toRouterTimeNs;
    }

    /**
     * Applies a change of the list. Endpoints of an unknown zone, kind or state, or without a
     * usable address, are left out.
     *
     * @return the router's event of it
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
            for (Entry entry : byName.values()) {
                if (!listedNames.contains(entry.name)) {
                    entry.markGone();
                }
            }
        }
        return new EndpointListReceived(
                update.snapshot() ? EndpointListKind.FULL : EndpointListKind.DELTA, listings);
    }

    // The listing of one endpoint, or null if it is left out.
    private Endpoint updateEntry(DiscoveryEvent.Endpoint endpoint) {
        EndpointState state = endpoint.state().orElse(null);
        Entry entry = byName.get(endpoint.name());
        int zone = zones.isEmpty() ? 0 : zones.indexOf(endpoint.zone());
        int kind = kinds.indexOf(endpoint.kind());
        InetSocketAddress address = addressOf(endpoint);
        boolean usable = zone >= 0 && kind >= 0 && address != null;
        if (state == EndpointState.GONE && entry != null && !usable) {
            entry.markGone();
            return entry.listing;
        }
        if (state == null || !usable) {
            return null;
        }
        if (entry == null) {
            entry = new Entry(endpoint.name(), allocateId(endpoint.name()));
            byName.put(entry.name, entry);
            byId.put(entry.id, entry);
        }
        long startedAtNs = startedAtNs(entry, endpoint.startedAtMs());
        entry.startedAtMs = endpoint.startedAtMs();
        entry.address = address;
        entry.listing = new Endpoint(entry.id, zone, kind, state, endpoint.weight(), startedAtNs);
        return entry.listing;
    }

    private long startedAtNs(Entry entry, long startedAtMs) {
        if (startedAtMs == 0) {
            return 0;
        }
        return entry.listing != null && entry.startedAtMs == startedAtMs
                ? entry.listing.startedAtNs()
                : toRouterTimeNs.applyAsLong(startedAtMs);
    }

    // One endpoint that can't be read must not take the others of its list with it.
    private static InetSocketAddress addressOf(DiscoveryEvent.Endpoint endpoint) {
        try {
            return SocketAddressParser.parse(endpoint.address());
        } catch (InvalidAddressException ignored) {
            return null;
        }
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

    /** Returns an endpoint by its id, or null if it is not known. */
    Entry get(long id) {
        return byId.get(id);
    }

    /** Returns all endpoints, also those that have left and are not removed yet. */
    Iterable<Entry> all() {
        return byName.values();
    }

    /** Returns how many endpoints have not left. */
    int presentCount() {
        int present = 0;
        for (Entry entry : byName.values()) {
            if (!entry.isGone()) {
                present++;
            }
        }
        return present;
    }

    /** Forgets the endpoints that have left. */
    void removeGone() {
        for (Iterator<Entry> entries = byName.values().iterator(); entries.hasNext(); ) {
            Entry entry = entries.next();
            if (entry.isGone()) {
                entries.remove();
                byId.remove(entry.id);
            }
        }
    }
}
