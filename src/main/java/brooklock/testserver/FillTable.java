package brooklock.testserver;

import brooklock.http.Fields;
import brooklock.http.RequestHead;
import brooklock.net.HttpClient;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The fills that a cache or a parent has in flight, each with the requests that wait for it. All
 * methods are called on the server's I/O thread, except {@link #isFilling}, which is thread-safe.
 */
final class FillTable {
    /**
     * A request that waits for a fill.
     *
     * @param joined whether the request joined a fill that another request had started
     */
    record Waiter(ActiveRequest active, boolean joined) {}

    /** A fill in flight. */
    static final class Fill {
        final List<Waiter> waiters = new ArrayList<>();
        long sentNs;

        /**
         * Result of the request to a peer that precedes the request to the source; null if no peer
         * was requested.
         */
        PeerResult peerResult;

        /** The load report of that peer, or of the source if the request is a prefetch. */
        String peerLoad;

        Fill(long sentNs) {
            this.sentNs = sentNs;
        }
    }

    final ServerModel model;
    final CopyStore store;
    final PurgeRecord purges;
    final ResponseSender sender;
    private final HttpClient client;
    private final InetSocketAddress origin;
    private final Map<CachedCopy.Key, List<Fill>> fills = new HashMap<>();

    /** The keys of {@code fills}, in a thread-safe set that other threads may read. */
    private final Set<CachedCopy.Key> keysInFlight = ConcurrentHashMap.newKeySet();

    /**
     * Creates an empty table.
     *
     * @param origin the address that a parent fills from; null for a cache
     */
    FillTable(
            ServerModel model,
            HttpClient client,
            CopyStore store,
            PurgeRecord purges,
            ResponseSender sender,
            InetSocketAddress origin) {
        this.model = model;
        this.client = client;
        this.store = store;
        this.purges = purges;
        this.sender = sender;
        this.origin = origin;
    }

    /** Returns whether a fill for a copy is in flight. May be called from any thread. */
    boolean isFilling(CachedCopy.Key key) {
        return keysInFlight.contains(key);
    }

    /** Drops all fills after the server was killed. */
    void clear() {
        fills.clear();
        keysInFlight.clear();
    }

    /** Adds the request to a fill in flight if it may join one; starts a new fill otherwise. */
    void fill(ActiveRequest active) {
        ServerRequest request = active.request();
        List<Fill> keyFills = fills.computeIfAbsent(request.copyKey(), key -> new ArrayList<>());
        if (request.mayJoin() && !request.passThrough() && !keyFills.isEmpty()) {
            keyFills.get(keyFills.size() - 1).waiters.add(new Waiter(active, true));
            return;
        }
        Fill newFill = new Fill(System.nanoTime());
        newFill.waiters.add(new Waiter(active, false));
        keyFills.add(newFill);
        keysInFlight.add(request.copyKey());
        if (request.peer() != null && !request.passThrough()) {
            newFill.peerResult = PeerResult.ASKED;
            send(request.peerAddress(), active, "keep=0", new FillHandler(this, newFill, active));
        } else {
            sendToSource(newFill, active);
        }
    }

    /** Requests the copy from the source, which is the origin if this server is a parent. */
    void sendToSource(Fill fill, ActiveRequest active) {
        ServerRequest request = active.request();
        boolean parent = model.role() == ServerModel.Role.PARENT;
        String parameters =
                "keep=1"
                        + (request.mayJoin() ? ", join" : "")
                        + (request.cachedOnly() && !parent ? ", held-only" : "");
        fill.sentNs = System.nanoTime();
        send(
                parent ? origin : request.sourceAddress(),
                active,
                parameters,
                new FillHandler(this, fill, active));
    }

    private void send(
            InetSocketAddress address,
            ActiveRequest active,
            String parameters,
            FillHandler handler) {
        RequestHead original = active.exchange().head();
        Fields fields =
                original.fields().copy().remove("Content-Length").remove("Transfer-Encoding");
        fields.set("Via", fields.combinedValue("Via") + ", 1.1 " + model.name());
        fields.set("Brooklock-Get", parameters + maxAgeParameter(active));
        RequestHead head =
                new RequestHead(
                        original.method(), original.target(), original.authority(), 1, fields);
        client.send(address, head, new byte[0], handler);
    }

    // The maximum age is relative to the arrival of the request at this server. Adding the time
    // since then ensures that a copy that was acceptable on arrival is still acceptable.
    private static String maxAgeParameter(ActiveRequest active) {
        long maxAgeNs = active.request().maxAgeNs();
        return maxAgeNs == 0
                ? ""
                : ", oldest=" + (maxAgeNs + System.nanoTime() - active.arrivedNs()) / 1000;
    }

    /** Removes a fill that has ended and returns the requests that waited for it. */
    List<Waiter> remove(Fill fill, CachedCopy.Key key) {
        List<Fill> keyFills = fills.get(key);
        if (keyFills != null) {
            keyFills.remove(fill);
            if (keyFills.isEmpty()) {
                fills.remove(key);
                keysInFlight.remove(key);
            }
        }
        return fill.waiters;
    }
}
