import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Case: discovery is down for some seconds; when it is back, the next event that it has to tell is
 * the purge of a group of objects that are asked for all the time, one at each dispatcher.
 */
final class PurgeAtReturn {
    private static final int DISPATCHERS = 4;
    private static final int ROUNDS = 8;
    private static final int DOWN_MS = 4000;
    private static final int UP_MS = 3000;
    // plant-caches: purges are kept from 300 ms after they were told; each limit is 50 ms longer on sockets.
    private static final int GRACE_MS = 300 + 50;
    // Caches drop the older copies of a purged object within 6 s; these take 4 s.
    private static final int DROPPED_AFTER_MS = 4000;

    // By group; the group of an object is its number divided by 16.
    private static final Map<Long, Long> PURGED_AT = new ConcurrentHashMap<>();
    private static final Map<Long, Double> TOLD_AT_MS = new ConcurrentHashMap<>();
    private static volatile long group = 1;

    private PurgeAtReturn() {}

    public static void main(String[] args) throws IOException {
        Run.main(args, PurgeAtReturn::run);
    }

    /** A cache: keeps a copy of each object, which it knows by the millisecond of its origin. */
    private static final class Cache implements CacheHost.Behaviour {
        private final Map<Long, Long> sinceByObject = new ConcurrentHashMap<>();

        @Override
        public void onRequest(CacheHost host, CacheHost.Link link, Wire.Frame request) {
            long now = System.currentTimeMillis();
            long asked = Long.parseUnsignedLong(request.fields().get("item"), 16);
            Long purgedAt = PURGED_AT.get(asked / 16);
            Long since = sinceByObject.get(asked);
            String cap = request.fields().get("cap");
            boolean good =
                    since != null
                            && !(purgedAt != null && since < purgedAt && now > purgedAt + DROPPED_AFTER_MS)
                            && (cap == null || now - since <= Long.parseLong(cap));
            if (!good && request.fields().get("up") == null && !host.name.startsWith("o-")) {
                link.answer(66, request.id(), "", new byte[0]);
                return;
            }
            if (!good) {
                // The origin, which always has the newest, is reached through the source at once.
                since = now;
                sinceByObject.put(asked, since);
            }
            Record.add("%s answers %016x of object %d, cap %s, from a copy since %d", host.name, request.id(), asked, cap, since);
            link.answerAfter(good ? 10 : 60, 64, request.id(), "rev=4be0c1927d55a6f3,since=" + since
                    + ",tell=" + (good ? "hit" : "via_origin"), ByteBuffer.allocate(8).putLong(since).array());
        }
    }

    private static int run(Path folder) throws Exception {
        Channel channel = Run.closing(new Channel());
        String[] names = {"s-0", "s-1", "p-0", "o-0"};
        String[] types = {"std", "std", "parent", "origin"};
        String[] list = new String[names.length];
        for (int i = 0; i < names.length; i++) {
            list[i] = Run.endpoint(names[i], Run.closing(new CacheHost(names[i], new Cache())).address(), types[i], "active", 0);
        }
        channel.add(Run.nodes(1, true, list));
        Node[] nodes = new Node[DISPATCHERS];
        for (int i = 0; i < DISPATCHERS; i++) {
            nodes[i] = Run.closing(new Node("n" + i, folder));
            nodes[i].start(Run.config(nodes[i], channel, 192, 1024, Run.PLANT_SETTINGS));
        }
        double startMs = Record.ms();
        double endMs = startMs + ROUNDS * (DOWN_MS + UP_MS) + 1000;
        for (int i = 0; i < DISPATCHERS; i++) {
            Client client = Run.closing(new Client("client of " + nodes[i].name, nodes[i].address));
            int number = i;
            Run.daemon("sender", () -> ask(client, number, endMs));
        }
        for (int round = 0; round < ROUNDS; round++) {
            long purged = round + 1;
            group = purged;
            if (Run.TROUBLE) {
                channel.goDown();
            }
            Run.sleep(DOWN_MS);
            // The objects are changed, and the purge is in the channel 100 ms later.
            long purgedAt = System.currentTimeMillis();
            PURGED_AT.put(purged, purgedAt);
            Run.sleep(100);
            if (Run.TROUBLE) {
                channel.comeBack();
            }
            channel.add(String.format("\"drop\":{\"family\":%d,\"when\":%d}", purged, purgedAt));
            TOLD_AT_MS.put(purged, Record.ms());
            Run.sleep(UP_MS - 100);
        }
        Run.sleep(3000);
        return judge();
    }

    private static void ask(Client client, int number, double endMs) {
        try {
            while (Record.ms() < endMs) {
                if (client.open.size() < 30) {
                    long asked = group * 16 + number;
                    client.send(
                            new Request("forecast-files", asked, 3000, null, null)
                                    .with("m", "40.0")
                                    .with("bucket", Long.toString(asked / 16)));
                }
                Run.sleep(25);
            }
        } catch (IOException e) {
            Record.show("%s stops: %s", client.name, e);
        }
    }

    private static int judge() {
        int checked = 0;
        int stale = 0;
        double worstMs = 0;
        for (Request request : Run.REQUESTS) {
            long asked = Long.parseUnsignedLong(request.fields.get("o"), 16);
            Double toldAtMs = TOLD_AT_MS.get(asked / 16);
            // A dispatcher sends no earlier than its client did.
            if (toldAtMs == null || request.sentAtMs <= toldAtMs + GRACE_MS || !"served".equals(request.answer)) {
                continue;
            }
            checked++;
            long since = ByteBuffer.wrap(request.bytes).getLong();
            if (since < PURGED_AT.get(asked / 16)) {
                stale++;
                worstMs = Math.max(worstMs, request.sentAtMs - toldAtMs);
                Record.add("STALE: %s of %s, sent %.0f ms after the purge was told, is answered from a copy that is %d ms"
                        + " older than the purge", request, request.client.name, request.sentAtMs - toldAtMs,
                        PURGED_AT.get(asked / 16) - since);
            }
        }
        Record.show("%d requests served that were sent over %d ms after the purge of their group was told; %d of them from an"
                + " older copy, the last sent %.0f ms after it", checked, GRACE_MS, stale, worstMs);
        int lost = Run.judgeAnswers();
        return stale > 0 ? Run.BROKEN : checked < 100 || lost != Run.HELD ? Run.NOT_RUN : Run.HELD;
    }
}
