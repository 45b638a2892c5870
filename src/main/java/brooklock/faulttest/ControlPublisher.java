package brooklock.faulttest;

import brooklock.http.Fields;
import brooklock.http.Framing;
import brooklock.http.RequestHead;
import brooklock.http.ResponseHead;
import brooklock.membership.EndpointListCodec;
import brooklock.membership.EventVersion;
import brooklock.membership.ListedEndpoint;
import brooklock.membership.WatchEvent;
import brooklock.net.CallFailure;
import brooklock.net.HttpClient;
import brooklock.net.IoLoop;
import brooklock.net.ResponseHandler;
import brooklock.routing.EndpointState;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ConcurrentSkipListMap;

/**
 * The registry and the one who spreads purges: they tell dispatchers over their control listeners,
 * and write down when each notice was sent and answered. Lives on one I/O thread.
 */
final class ControlPublisher {
    private static final String SOURCE = "registry";
    // What a living dispatcher did not answer is told again so much later.
    private static final long RETRY_DELAY_NS = 200_000_000L;

    /** A list went to a dispatcher; answered is 0 while it is not, or not taken. */
    static final class ListDelivery {
        final int dispatcher;
        final long version;
        final long sentNs;
        volatile long acknowledgedNs;

        ListDelivery(int dispatcher, long version, long sentNs) {
            this.dispatcher = dispatcher;
            this.version = version;
            this.sentNs = sentNs;
        }
    }

    /** A group was purged. */
    record Purge(int number, String group, long momentNs, double wallMs) {}

    /** A dispatcher was told of a purge. */
    record PurgeDelivery(int dispatcher, int incarnation, Purge purge, long atNs) {}

    private final IoLoop loop;
    private final HttpClient client;
    private final List<DispatcherRunner> dispatchers;
    private final Map<String, ListedEndpoint> endpoints = new LinkedHashMap<>();
    private final List<Purge> recentPurges = new ArrayList<>();
    private final long registryIncarnation = System.currentTimeMillis();
    private long listVersion = 1;

    /** What the registry said of each host, by the number that it said so with. */
    final Map<String, ConcurrentSkipListMap<Long, EndpointState>> stateHistory = new TreeMap<>();

    final Collection<ListDelivery> listDeliveries = new ConcurrentLinkedQueue<>();
    final Collection<PurgeDelivery> purgeDeliveries = new ConcurrentLinkedQueue<>();

    ControlPublisher(IoLoop loop, HttpClient client, List<DispatcherRunner> dispatchers) {
        this.loop = loop;
        this.client = client;
        this.dispatchers = dispatchers;
    }

    void addInitial(ListedEndpoint member) {
        endpoints.put(member.name(), member);
        stateHistory
                .computeIfAbsent(member.name(), k -> new ConcurrentSkipListMap<>())
                .put(1L, member.state());
    }

    /** A host's state is news to every dispatcher. */
    void publishState(ListedEndpoint member) {
        endpoints.put(member.name(), member);
        stateHistory.get(member.name()).put(++listVersion, member.state());
        for (int i = 0; i < dispatchers.size(); i++) {
            post(
                    i,
                    new WatchEvent(
                            new EventVersion(
                                    SOURCE, registryIncarnation, listVersion, listVersion - 1),
                            false,
                            List.of(member)));
        }
    }

    /**
     * A dispatcher that has just started is given the whole list and the purges that may still
     * matter.
     */
    void onDispatcherStarted(int dispatcher, long purgesSinceNs) {
        sendFullList(dispatcher);
        recentPurges.forEach(
                purge -> {
                    if (purge.momentNs() - purgesSinceNs > 0) {
                        sendPurge(dispatcher, purge);
                    }
                });
    }

    private void sendFullList(int dispatcher) {
        post(
                dispatcher,
                new WatchEvent(
                        new EventVersion(SOURCE, registryIncarnation, listVersion, 0),
                        true,
                        List.copyOf(endpoints.values())));
    }

    private void post(int index, WatchEvent update) {
        ListDelivery delivery =
                new ListDelivery(index, update.version().sequence(), System.nanoTime());
        if (dispatchers.get(index).alive) {
            listDeliveries.add(delivery);
        }
        post(
                dispatchers.get(index),
                "/hosts",
                EndpointListCodec.encode(update),
                answer -> {
                    if (answer.equals("gap")) {
                        sendFullList(index);
                    } else if (!List.of("taken", "repeated", "older").contains(answer)) {
                        throw new IllegalStateException(
                                dispatchers.get(index).name
                                        + " answers "
                                        + answer
                                        + " to "
                                        + update.version());
                    } else {
                        // Taken, there already, or older than what is there: in force is this
                        // number or a newer one.
                        delivery.acknowledgedNs = System.nanoTime();
                    }
                },
                () -> sendFullList(index));
    }

    void purge(Purge purge) {
        recentPurges.add(purge);
        for (int i = 0; i < dispatchers.size(); i++) {
            sendPurge(i, purge);
        }
    }

    private void sendPurge(int index, Purge purge) {
        DispatcherRunner dispatcher = dispatchers.get(index);
        int started = dispatcher.incarnation;
        post(
                dispatcher,
                "/purge?group="
                        + purge.group()
                        + "&at="
                        + String.format(Locale.ROOT, "%.3f", purge.wallMs()),
                "",
                answer ->
                        purgeDeliveries.add(
                                new PurgeDelivery(index, started, purge, System.nanoTime())),
                () -> sendPurge(index, purge));
    }

    /** Takes the first line of an answer. */
    private interface ReplyHandler {
        void onReply(String word);
    }

    private void post(
            DispatcherRunner dispatcher,
            String target,
            String body,
            ReplyHandler replyHandler,
            Runnable retry) {
        if (!dispatcher.alive) {
            return;
        }
        int started = dispatcher.incarnation;
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        Fields fields = new Fields().add("Content-Length", Integer.toString(bytes.length));
        client.send(
                dispatcher.controlAddress,
                new RequestHead("POST", target, "control", 1, fields),
                bytes,
                new ResponseHandler() {
                    private final StringBuilder text = new StringBuilder();
                    private int status;

                    @Override
                    public void onHead(ResponseHead head, Framing framing, boolean whole) {
                        status = head.status();
                    }

                    @Override
                    public boolean onBody(ByteBuffer piece) {
                        text.append(StandardCharsets.UTF_8.decode(piece));
                        return true;
                    }

                    @Override
                    public void onComplete(Fields trailers) {
                        if (status != 200 && status != 409) {
                            throw new IllegalStateException(
                                    dispatcher.name
                                            + " answers "
                                            + status
                                            + " to "
                                            + target
                                            + ": "
                                            + text);
                        }
                        replyHandler.onReply(text.toString().lines().findFirst().orElse(""));
                    }

                    @Override
                    public void onFailure(CallFailure failure, String why) {
                        // It was killed meanwhile, and is given all of it when it is back; or it
                        // was only too busy to connect.
                        loop.schedule(
                                RETRY_DELAY_NS,
                                () -> {
                                    if (dispatcher.alive && dispatcher.incarnation == started) {
                                        retry.run();
                                    }
                                });
                    }
                });
    }
}
