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
 * The fills that a cache or a parent has in flight, each with the requests that wait for it. Used
 * on the server's I/O thread, but for {@link #isFilling}.
 */
final class FillTable {
    /** A request that waits for a fill; {@code joined} if it did not start it. */
    record Waiter(ActiveRequest active, boolean joined) {}

    /** One fill in flight. */
    static final class Fill {
        final List<Waiter> waiters = new ArrayList<>();
        long sentNs;

        /** How the peer responded that was tried first; null where none was. */
        PeerResult peerResult;

        /** The load report of that peer, or of the source for a prefetch. */
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

    /** The keys of {@code fills}, for readers on other threads. */
    private final Set<CachedCopy.Key> runningFills = ConcurrentHashMap.newKeySet();

    /** Creates an empty table; {@code origin} is what a parent fills from. */
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

    /** Whether a fill for a copy is in flight; from any thread. */
    boolean isFilling(CachedCopy.Key key) {
        return runningFills.contains(key);
    }

    /** The server has died; responses to its fills find nobody waiting any more. */
    void clear() {
        fills.clear();
        runningFills.clear();
    }

    /** Joins a fill in flight if the request may, else starts one. */
    void fill(ActiveRequest active) {
        ServerRequest request = active.request();
        List<Fill> running = fills.computeIfAbsent(request.copyKey(), key -> new ArrayList<>());
        if (request.join() && !request.passThrough() && !running.isEmpty()) {
            running.get(running.size() - 1).waiters.add(new Waiter(active, true));
            return;
        }
        Fill newFill = new Fill(System.nanoTime());
        newFill.waiters.add(new Waiter(active, false));
        running.add(newFill);
        runningFills.add(request.copyKey());
        if (request.peer() != null && !request.passThrough()) {
            newFill.peerResult = PeerResult.ASKED;
            send(request.peerAddress(), active, "keep=0", new FillHandler(this, newFill, active));
        } else {
            sendToSource(newFill, active);
        }
    }

    /** Asks the source (for a parent: the origin) for the copy. */
    void sendToSource(Fill fill, ActiveRequest active) {
        ServerRequest request = active.request();
        boolean parent = model.role() == ServerModel.Role.PARENT;
        String parameters =
                "keep=1"
                        + (request.join() ? ", join" : "")
                        + (request.cachedOnly() && !parent ? ", held-only" : "");
        fill.sentNs = System.nanoTime();
        send(
                parent ? origin : request.sourceAddress(),
                active,
                parameters,
                new FillHandler(this, fill, active));
    }

    private void send(
            InetSocketAddress to, ActiveRequest active, String parameters, FillHandler handler) {
        RequestHead original = active.exchange().head();
        Fields fields =
                original.fields().copy().remove("Content-Length").remove("Transfer-Encoding");
        fields.set("Via", fields.combinedValue("Via") + ", 1.1 " + model.name());
        fields.set("Brooklock-Get", parameters + maxAgeParameter(active));
        RequestHead head =
                new RequestHead(
                        original.method(), original.target(), original.authority(), 1, fields);
        client.send(to, head, new byte[0], handler);
    }

    // The same copies are good enough as when the request arrived: by now they may be that much
    // older.
    private static String maxAgeParameter(ActiveRequest active) {
        long maxAgeNs = active.request().maxAgeNs();
        return maxAgeNs == 0
                ? ""
                : ", oldest=" + (maxAgeNs + System.nanoTime() - active.arrivedNs()) / 1000;
    }

    /** Ends a fill and returns the requests that waited for it. */
    List<Waiter> remove(Fill fill, CachedCopy.Key key) {
        List<Fill> running = fills.get(key);
        if (running != null) {
            running.remove(fill);
            if (running.isEmpty()) {
                fills.remove(key);
                runningFills.remove(key);
            }
        }
        return fill.waiters;
    }
}
