package brooklock.faulttest;

import brooklock.membership.EndpointListCodec;
import brooklock.membership.EventVersion;
import brooklock.membership.ListedEndpoint;
import brooklock.membership.WatchEvent;
import brooklock.net.HttpClient;
import brooklock.net.IoLoop;
import brooklock.routing.EndpointState;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ConcurrentSkipListMap;

/**
 * The registry, and the system that sends purges: it updates dispatchers over their control
 * listeners, and records when each update was sent and acknowledged. Used on one I/O thread; the
 * records may be read from any.
 */
final class ControlPublisher {
    private static final String SOURCE = "registry";

    /** A reply that requests the full list: the dispatcher lacks the version before. */
    private static final String REPLY_GAP = "gap";

    /**
     * Applied, applied before, or older than what is applied: this version or a newer one holds.
     */
    private static final Set<String> REPLIES_APPLIED = Set.of("taken", "repeated", "older");

    /** One endpoint list sent to a dispatcher. Times are {@link System#nanoTime}. */
    static final class ListDelivery {
        final int dispatcher;
        final long version;
        final long sentNs;

        /** When the dispatcher had acknowledged it; 0 while it has not. */
        volatile long acknowledgedNs;

        ListDelivery(int dispatcher, long version, long sentNs) {
            this.dispatcher = dispatcher;
            this.version = version;
            this.sentNs = sentNs;
        }
    }

    /** A purge of a group, its moment on both clocks. */
    record Purge(int number, String group, long purgedAtNs, double purgedAtWallMs) {}

    /** A dispatcher, in one of its runs, has acknowledged a purge. */
    record PurgeDelivery(int dispatcher, int incarnation, Purge purge, long atNs) {}

    /** The state of each endpoint, by the list version that had it first. */
    final Map<String, ConcurrentSkipListMap<Long, EndpointState>> stateHistory = new TreeMap<>();

    final Collection<ListDelivery> listDeliveries = new ConcurrentLinkedQueue<>();
    final Collection<PurgeDelivery> purgeDeliveries = new ConcurrentLinkedQueue<>();
    private final ControlClient client;
    private final List<DispatcherRunner> dispatchers;
    private final Map<String, ListedEndpoint> endpoints = new LinkedHashMap<>();
    private final List<Purge> recentPurges = new ArrayList<>();
    private final long registryIncarnation = System.currentTimeMillis();
    private long listVersion = 1;

    ControlPublisher(IoLoop loop, HttpClient client, List<DispatcherRunner> dispatchers) {
        this.client = new ControlClient(loop, client);
        this.dispatchers = dispatchers;
    }

    /** Adds an endpoint to the first list. */
    void addInitial(ListedEndpoint endpoint) {
        endpoints.put(endpoint.name(), endpoint);
        stateHistory
                .computeIfAbsent(endpoint.name(), key -> new ConcurrentSkipListMap<>())
                .put(listVersion, endpoint.state());
    }

    /** Sends an endpoint's new state to every dispatcher. */
    void publishState(ListedEndpoint endpoint) {
        endpoints.put(endpoint.name(), endpoint);
        stateHistory.get(endpoint.name()).put(++listVersion, endpoint.state());
        EventVersion version =
                new EventVersion(SOURCE, registryIncarnation, listVersion, listVersion - 1);
        for (int i = 0; i < dispatchers.size(); i++) {
            sendList(i, new WatchEvent(version, false, List.of(endpoint)));
        }
    }

    /** A dispatcher has started: it gets the full list, and the purges that may still matter. */
    void onDispatcherStarted(int dispatcher, long purgesSinceNs) {
        sendFullList(dispatcher);
        recentPurges.forEach(
                purge -> {
                    if (purge.purgedAtNs() - purgesSinceNs > 0) {
                        sendPurge(dispatcher, purge);
                    }
                });
    }

    private void sendFullList(int dispatcher) {
        EventVersion version = new EventVersion(SOURCE, registryIncarnation, listVersion, 0);
        sendList(dispatcher, new WatchEvent(version, true, List.copyOf(endpoints.values())));
    }

    private void sendList(int index, WatchEvent update) {
        DispatcherRunner dispatcher = dispatchers.get(index);
        ListDelivery delivery =
                new ListDelivery(index, update.version().sequence(), System.nanoTime());
        if (dispatcher.alive) {
            listDeliveries.add(delivery);
        }
        client.post(
                dispatcher,
                "/hosts",
                EndpointListCodec.encode(update),
                reply -> {
                    if (reply.equals(REPLY_GAP)) {
                        sendFullList(index);
                    } else if (REPLIES_APPLIED.contains(reply)) {
                        delivery.acknowledgedNs = System.nanoTime();
                    } else {
                        throw new UnexpectedReplyException(
                                dispatcher.name + " answers " + reply + " to " + update.version());
                    }
                },
                () -> sendFullList(index));
    }

    /** Sends a purge to every dispatcher. */
    void purge(Purge purge) {
        recentPurges.add(purge);
        for (int i = 0; i < dispatchers.size(); i++) {
            sendPurge(i, purge);
        }
    }

    private void sendPurge(int index, Purge purge) {
        DispatcherRunner dispatcher = dispatchers.get(index);
        int incarnation = dispatcher.incarnation();
        String moment = String.format(Locale.ROOT, "%.3f", purge.purgedAtWallMs());
        client.post(
                dispatcher,
                "/purge?group=" + purge.group() + "&at=" + moment,
                "",
                reply ->
                        purgeDeliveries.add(
                                new PurgeDelivery(index, incarnation, purge, System.nanoTime())),
                () -> sendPurge(index, purge));
    }
}
