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
 * Plays the endpoint registry and the source of purges: sends updates to the control listeners of
 * the dispatchers, and records when each update was sent and acknowledged. Used on one I/O thread
 * only, except for the recorded data, which may be read from any thread.
 */
final class ControlPublisher {
    private static final String SOURCE = "registry";

    /** The reply of a dispatcher that lacks the previous version and needs the full list. */
    private static final String REPLY_GAP = "gap";

    /**
     * Replies which confirm that the sent version or a newer one is in force. In this order: the
     * version was applied now, had been applied before, or is older than the version in force.
     */
    private static final Set<String> REPLIES_APPLIED = Set.of("taken", "repeated", "older");

    /** One endpoint list sent to a dispatcher. Times are values of {@link System#nanoTime}. */
    static final class ListDelivery {
        final int dispatcher;
        final long version;
        final long sentNs;

        /** When the acknowledgement arrived; 0 until then. */
        volatile long acknowledgedNs;

        ListDelivery(int dispatcher, long version, long sentNs) {
            this.dispatcher = dispatcher;
            this.version = version;
            this.sentNs = sentNs;
        }
    }

    /**
     * A purge of a group.
     *
     * @param number sequence number of the purge within the test
     * @param purgedAtNs when the origin's content changed, {@link System#nanoTime}
     * @param purgedAtWallMs the same time in milliseconds since the epoch
     */
    record Purge(int number, String group, long purgedAtNs, double purgedAtWallMs) {}

    /**
     * The acknowledgement of a purge by a dispatcher.
     *
     * @param incarnation the dispatcher's incarnation to which the purge was sent
     * @param atNs when the acknowledgement arrived, {@link System#nanoTime}
     */
    record PurgeDelivery(int dispatcher, int incarnation, Purge purge, long atNs) {}

    /** The states of each endpoint, keyed by the first list version that contains the state. */
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

    /** Adds an endpoint to the initial list; called before any dispatcher is started. */
    void addInitial(ListedEndpoint endpoint) {
        endpoints.put(endpoint.name(), endpoint);
        stateHistory
                .computeIfAbsent(endpoint.name(), key -> new ConcurrentSkipListMap<>())
                .put(listVersion, endpoint.state());
    }

    /** Sends the new state of an endpoint to every dispatcher, as a new list version. */
    void publishState(ListedEndpoint endpoint) {
        endpoints.put(endpoint.name(), endpoint);
        stateHistory.get(endpoint.name()).put(++listVersion, endpoint.state());
        EventVersion version =
                new EventVersion(SOURCE, registryIncarnation, listVersion, listVersion - 1);
        for (int i = 0; i < dispatchers.size(); i++) {
            sendList(i, new WatchEvent(version, false, List.of(endpoint)));
        }
    }

    /**
     * Sends the full list and the recent purges to a dispatcher that has started.
     *
     * @param dispatcher index of the dispatcher
     * @param purgesSinceNs purges after this {@link System#nanoTime} are sent again; the endpoints
     *     have applied all earlier purges
     */
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
                                "endpoint list "
                                        + update.version()
                                        + " to dispatcher "
                                        + dispatcher.name
                                        + ": expected reply '"
                                        + REPLY_GAP
                                        + "' or one of "
                                        + REPLIES_APPLIED
                                        + " but received '"
                                        + reply
                                        + "'");
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
