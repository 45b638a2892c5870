import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** Case: a bad client names sizes that are out of range while a cold cache takes the place of a warm one. Is it pushed over? */
final class ColdCache {
    private static final double PER_SECOND = 170; // DAYS.md: up to 170 requests a second
    private static final double SIZE_KB = 400; // 53 ms to send at oneFlowKbPerS; shop-page: 33 to 87 ms on average
    private static final double WARM_PER_SECOND = 50; // of mean requests: what the link of one cache carries
    private static final double COLD_FROM = 0.12; // invariants.coldFrom; STANDING.md, throng+brink: the settings tell a colder start
    private static final double COLD_MS = 15_000; // invariants.coldNs
    private static final double FALL_MULTIPLE = 2; // invariants.fallMultiple
    private static final double OVERLOAD_MS = 2000; // invariants.overloadForNs
    private static final ScheduledExecutorService TIMER = Executors.newScheduledThreadPool(4, r -> {
        Thread t = new Thread(r);
        t.setDaemon(true);
        return t;
    });

    /** A cache whose link sends so many mean requests a second; cold, it has the share of it that the settings tell. */
    private static final class Cache {
        final Host host;
        final long startedMs;
        final ArrayDeque<Long> window = new ArrayDeque<>();
        final Record record;
        double freeAtMs;
        int came;
        int full;
        String fall;
        String nearest = "";
        double nearestShare;

        Cache(String name, long startedMs, Record record) throws Exception {
            this.startedMs = startedMs;
            this.record = record;
            host = new Host(name, this::handle);
        }

        double share(long now) {
            return startedMs == 0 ? 1 : Math.min(1, COLD_FROM + (1 - COLD_FROM) * (now - startedMs) / COLD_MS);
        }

        synchronized void handle(Host h, Host.Request request) {
            long now = request.atMs;
            came++;
            record.line(String.format("%s gets %016x", h.name, request.id));
            if (startedMs != 0 && now - startedMs < COLD_MS && fall == null) {
                window.add(now);
                while (window.peek() <= now - OVERLOAD_MS) {
                    window.poll();
                }
                // Most lenient: the capacity at the end of the span counts for the whole of it.
                double n = FALL_MULTIPLE * share(now) * WARM_PER_SECOND * OVERLOAD_MS / 1000;
                double most = n < 30 ? n + 3 * Math.sqrt(n) + 3 : n + 2 * Math.sqrt(n) + 2;
                if (window.size() / most > nearestShare) {
                    nearestShare = window.size() / most;
                    nearest = String.format("%d of at most %.1f within %.0f ms, %d ms after its start", window.size(), most, OVERLOAD_MS,
                            now - startedMs);
                }
                if (window.size() > most) {
                    fall = String.format("%s falls %d ms after its start: %d requests within %.0f ms, N is %.1f, at most %.1f", h.name,
                            now - startedMs, window.size(), OVERLOAD_MS, n, most);
                    record.line(fall);
                }
            }
            double sendMs = 1000 / (WARM_PER_SECOND * share(now));
            if (freeAtMs - now > 1000) {
                full++;
                request.answer(Host.FULL, "tell=no_slot", new byte[0]);
                return;
            }
            freeAtMs = Math.max(freeAtMs, now) + sendMs;
            long waitMs = Math.max(53, (long) (freeAtMs - now));
            TIMER.schedule(() -> request.answer(Host.OK, "rev=4be0c1927d55a6f3,since=" + (System.currentTimeMillis() - 1000) + ",tell=hit",
                    new byte[20_000]), waitMs, TimeUnit.MILLISECONDS);
        }
    }

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Record record = new Record(args[0]);
        List<String> entries = new ArrayList<>();
        List<Cache> caches = new ArrayList<>();
        String gone = null;
        for (int i = 1; i <= 4; i++) {
            Cache c = new Cache("s-0000000" + i, 0, record);
            caches.add(c);
            entries.add(Settings.entry(c.host.name, c.host.address(), "std", "active", 0));
            gone = Settings.entry(c.host.name, c.host.address(), "std", "left", 0);
        }
        Host.Handler wide = (host, request) -> {
            record.line(String.format("%s gets %016x", host.name, request.id));
            TIMER.schedule(() -> request.answer(Host.OK, "rev=4be0c1927d55a6f3,since=" + (System.currentTimeMillis() - 1000) + ",tell=hit",
                    new byte[20_000]), 60, TimeUnit.MILLISECONDS);
        };
        entries.add(Settings.entry("p-00000001", new Host("p-00000001", wide).address(), "parent", "active", 0));
        entries.add(Settings.entry("o-00000001", new Host("o-00000001", wide).address(), "origin", "active", 0));
        Discovery channel = new Discovery(1, record);
        Dispatcher dispatcher = new Dispatcher();
        try {
            dispatcher.start(Settings.config(dispatcher.port, channel.address(), entries, 1024, Settings.shopLanes(),
                    "[false,false,true]", "[0,0,0]").replace("\"coldFrom\":0.19", "\"coldFrom\":" + COLD_FROM));
        } catch (Exception e) {
            record.end(2, "could not run: " + e);
        }
        Load load = new Load(dispatcher.port, 30, PER_SECOND, SIZE_KB, (id, r, more) ->
                new Client.Call(id, "shop-page", String.format("%016x", 0x7f3a9c2100000000L + r.nextInt(3000)), 2500));
        Thread.sleep(12_000);
        List<Client.Call> bad = Collections.synchronizedList(new ArrayList<>());
        if (trouble) {
            Host.start(() -> {
                for (int i = 0; i < 30; i++) {
                    Client client = new Client(dispatcher.port);
                    Client.Call call = new Client.Call(String.format("%016x", 0xbad0000000000000L + i), "item-media",
                            String.format("%016x", 0x6f3a9c2100000000L + i), 5000);
                    Map<String, String> fields = new LinkedHashMap<>(Client.fields(call, 0, 17));
                    fields.put("m", "999999999");
                    bad.add(call);
                    client.send(call, fields, new byte[0]);
                    Thread.sleep(1000);
                    record.line("bad client, m=999999999: " + call);
                    client.close();
                }
            });
        }
        Thread.sleep(5000);
        Cache cold = new Cache("s-00000005", System.currentTimeMillis(), record);
        channel.add(Settings.nodes(2, false, List.of(gone, Settings.entry(cold.host.name, cold.host.address(), "std", "active", cold.startedMs))));
        record.line("event 2 is in the command channel: s-00000004 has left, s-00000005 has started cold");
        Thread.sleep(20_000);
        load.stop();
        Thread.sleep(3500);
        for (Cache c : caches) {
            record.raw(c.host.name + ": " + c.came + " requests, " + c.full + " refused as full");
        }
        record.raw(cold.host.name + ": " + cold.came + " requests, " + cold.full + " refused as full; at worst " + cold.nearest);
        record.raw("answers " + load.ends() + "; last event told " + channel.lastTold);
        for (String line : dispatcher.log().split("\n")) {
            record.raw("its log: " + line.substring(0, Math.min(300, line.length())));
        }
        load.dump(record);
        dispatcher.end();
        record.end(cold.fall == null ? 0 : 1, cold.fall == null ? "held: the cold cache was not pushed over" : "broken: " + cold.fall);
    }
}
