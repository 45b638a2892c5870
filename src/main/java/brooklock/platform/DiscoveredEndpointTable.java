package brooklock.platform;

import brooklock.routing.Endpoint;
import brooklock.routing.EndpointListKind;
import brooklock.routing.EndpointState;
import brooklock.routing.RouterEvent.EndpointListReceived;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongUnaryOperator;
import java.util.zip.CRC32;

/**
 * The endpoint list of the discovery service, indexed by name and by the router's endpoint id.
 * Performs no I/O; not thread-safe; owned by the I/O thread.
 *
 * <p>The id of an endpoint is the CRC-32 of its name. All dispatchers therefore assign the same
 * ids, even after a restart, and hash objects to the same endpoints. If the CRC-32 of a new name is
 * 0 or is in use, which is unlikely, the endpoint gets the next free id; dispatchers may then
 * assign different ids to it.
 */
final class DiscoveredEndpointTable {
    private static final long MAX_ID = 0xffffffffL;

    /** An endpoint of the list. Mutable; modified by the enclosing table only. */
    static final class Entry {
        private final String name;
        private final long id;
        private InetSocketAddress address;
        private Endpoint listing;
        private long startedAtMs;
        private boolean superseded;

        private Entry(String name, long id) {
            this.name = name;
            this.id = id;
        }

        String name() {
            return name;
        }

        /** Returns the router's id of the endpoint. */
        long id() {
            return id;
        }

        /** Returns the address on which the endpoint listens. */
        InetSocketAddress address() {
            return address;
        }

        /**
         * Returns when the endpoint's process started, in Unix milliseconds; 0 if it is not known
         * to have started late.
         */
        long startedAtMs() {
            return startedAtMs;
        }

        /** Returns the endpoint as the router represents it, as of the last list update. */
        Endpoint listing() {
            return listing;
        }

        /** Returns whether the endpoint has left the list. */
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
     * @param zones the names of the zones in the order of the router's indices; empty if there is
     *     only one zone
     * @param kinds the names of the kinds of endpoint in the order of the router's indices
     * @param toRouterTimeNs converts Unix milliseconds to the router's clock, ns; called once for
     *     each start of an endpoint, so that all later lists give the router the same start time
     */
    DiscoveredEndpointTable(
            List<String> zones, List<String> kinds, LongUnaryOperator toRouterTimeNs) {
        this.zones = zones;
        this.kinds = kinds;
        this.toRouterTimeNs = toRouterTimeNs;
    }

    /**
     * Applies an update of the list. Endpoints of an unknown zone, kind or state, or without a
     * valid address, are ignored, unless the update states that an endpoint of the table has left
     * the list.
     *
     * <p>A ready endpoint at the address of another one proves that the process of the other one is
     * gone, even if the list does not say so yet: the other one is marked as gone, and stays so
     * until it is listed with another address or start time. Otherwise requests for the one would
     * be sent to the other.
     *
     * @return the router's event for the update
     */
    EndpointListReceived apply(DiscoveryEvent.EndpointListUpdate update) {
        List<Endpoint> listings = new ArrayList<>();
        Set<String> listedNames = new HashSet<>();
        List<Entry> startedProcesses = new ArrayList<>();
        for (DiscoveryEvent.Endpoint endpoint : update.endpoints()) {
            listedNames.add(endpoint.name());
            Endpoint listing = updateEntry(endpoint, startedProcesses);
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
        listings.addAll(supersede(startedProcesses, listedNames));
        return new EndpointListReceived(
                update.snapshot() ? EndpointListKind.FULL : EndpointListKind.DELTA, listings);
    }

    // Returns the listings of the entries whose process is gone because another one has started at
    // its address. Of two processes the one with the later start time is there; endpoints that are
    // listed in the same update are left as they are listed.
    private List<Endpoint> supersede(List<Entry> startedProcesses, Set<String> listedNames) {
        List<Endpoint> superseded = new ArrayList<>();
        if (startedProcesses.isEmpty()) {
            return superseded;
        }
        Map<InetSocketAddress, Entry> startedByAddress = new HashMap<>();
        startedProcesses.forEach(entry -> startedByAddress.put(entry.address, entry));
        for (Entry other : byName.values()) {
            Entry started = startedByAddress.get(other.address);
            if (started != null && !other.isGone() && !listedNames.contains(other.name)) {
                Entry earlier = other.startedAtMs > started.startedAtMs ? started : other;
                earlier.markGone();
                earlier.superseded = true;
                superseded.add(earlier.listing);
            }
        }
        return superseded;
    }

    // Creates or updates the entry of an endpoint, and adds it to the list if it is ready and its
    // process is not the one listed before. Returns its listing, or null if it is ignored.
    private Endpoint updateEntry(DiscoveryEvent.Endpoint endpoint, List<Entry> startedProcesses) {
        EndpointState state = endpoint.state().orElse(null);
        Entry entry = byName.get(endpoint.name());
        int zone = zones.isEmpty() ? 0 : zones.indexOf(endpoint.zone());
        int kind = kinds.indexOf(endpoint.kind());
        InetSocketAddress address = parseAddress(endpoint);
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
        boolean sameProcess =
                address.equals(entry.address) && entry.startedAtMs == endpoint.startedAtMs();
        if (sameProcess && entry.superseded) {
            return entry.listing;
        }
        entry.superseded = false;
        if (!sameProcess && state == EndpointState.READY) {
            startedProcesses.add(entry);
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

    // Returns null for an invalid address instead of throwing: one invalid endpoint must not cause
    // the rest of the list to be dropped.
    private static InetSocketAddress parseAddress(DiscoveryEvent.Endpoint endpoint) {
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

    /** Returns the endpoint with the specified id, or null if there is none. */
    Entry get(long id) {
        return byId.get(id);
    }

    /** Returns all endpoints, including those that have left the list and are not removed yet. */
    Iterable<Entry> all() {
        return byName.values();
    }

    /** Returns the number of endpoints that have not left the list. */
    int listedCount() {
        int count = 0;
        for (Entry entry : byName.values()) {
            if (!entry.isGone()) {
                count++;
            }
        }
        return count;
    }

    /** Removes the endpoints that have left the list. */
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
