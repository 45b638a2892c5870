import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;

/** Case: the command channel answers each connection two seconds late. Are purges kept? Drains are watched as well. */
final class SlowDiscovery {
    private static final int ANSWER_DELAY_MS = 2000;
    private static final int TOLD_AFTER_SILENCE_MS = 4000; // the most that PROTOCOL.md and DAYS.md allow after a break or a stop
    private static final int GRACE_MS = 2000 + 50; // invariants.stopSendingWithinNs, and 50 ms on sockets

    private static final int PURGE_GRACE_MS = 500 + 50; // extra.purgeGraceNs, and 50 ms on sockets
    private static final int DROPPED_AFTER_MS = 5800; // extra.goneEverywhereNs: all older copies are dropped within 6 s

    private record Sent(long atMs, String host, String how, long id, long sinceMs) {}

    /** The purges of the group 17, in which all objects are. */
    private static final List<Long> PURGES = Collections.synchronizedList(new ArrayList<>());
    private static final long START_MS = System.currentTimeMillis();
    /** By host and object: when the origin gave out the copy. */
    private static final Map<String, Long> COPIES = new java.util.concurrent.ConcurrentHashMap<>();

    /** Returns when the origin gave out the copy that the host answers with; it fetches a new one where the old one will not do. */
    private static long copyOf(Host host, Host.Request request) {
        long now = request.atMs;
        String key = host.name + " " + request.fields.get("item");
        long since = COPIES.computeIfAbsent(key, k -> START_MS);
        long cap = Long.parseLong(request.fields.getOrDefault("cap", "0"));
        boolean dropped = false;
        synchronized (PURGES) {
            for (long purge : PURGES) {
                dropped |= since < purge && now >= purge + DROPPED_AFTER_MS;
            }
        }
        if (dropped || (cap > 0 && now - since > cap)) {
            since = now;
            COPIES.put(key, since);
        }
        return since;
    }

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Record record = new Record(args[0]);
        List<Sent> sent = Collections.synchronizedList(new ArrayList<>());
        Host.Handler handler = (host, request) -> {
            long since = copyOf(host, request);
            sent.add(new Sent(request.atMs, host.name, "request", request.id, since));
            if (request.fields.containsKey("up")) {
                sent.add(new Sent(request.atMs, request.fields.get("up"), "source named to " + host.name, request.id, Long.MAX_VALUE));
            }
            request.answer(Host.OK, "rev=4be0c1927d55a6f3,since=" + since + ",tell=hit", new byte[20_000]);
        };
        List<String> entries = new ArrayList<>();
        String draining = null;
        for (int i = 1; i <= 4; i++) {
            Host host = new Host("s-0000000" + i, handler);
            entries.add(Settings.entry(host.name, host.address(), "std", "active", 0));
            if (i == 4) {
                draining = Settings.entry(host.name, host.address(), "std", "leaving", 0);
            }
        }
        entries.add(Settings.entry("p-00000001", new Host("p-00000001", handler).address(), "parent", "active", 0));
        entries.add(Settings.entry("o-00000001", new Host("o-00000001", handler).address(), "origin", "active", 0));
        Discovery channel = new Discovery(1, record);
        if (trouble) {
            channel.answerDelayMs = ANSWER_DELAY_MS;
            record.line("the command channel is slow: it takes each connection at once and answers resume after " + ANSWER_DELAY_MS
                    + " ms; from then on it is on time");
        }
        Dispatcher dispatcher = new Dispatcher();
        try {
            dispatcher.start(Settings.config(dispatcher.port, channel.address(), entries, 1024, Settings.shopLanes(),
                    "[false,false,true]", "[0,0,0]"));
        } catch (Exception e) {
            record.end(2, "could not run: " + e);
        }
        Load load = new Load(dispatcher.port, 8, 40, 60, (id, r, more) ->
                new Client.Call(id, "shop-page", String.format("%016x", 0x7f3a9c2100000000L + r.nextInt(400)), 2500));
        Thread.sleep(5000);
        channel.add(Settings.nodes(2, false, List.of(draining)));
        record.line("event 2 is in the command channel: s-00000004 is leaving");
        long toldMs = System.currentTimeMillis() + TOLD_AFTER_SILENCE_MS;
        for (int i = 0; i < 3; i++) {
            long purge = System.currentTimeMillis();
            PURGES.add(purge);
            channel.add("\"drop\":{\"family\":17,\"when\":" + purge + "}");
            record.line("event " + channel.cursor() + " is in the command channel: the group 17 was purged at " + (purge - record.startMs));
            Thread.sleep(8000);
        }
        load.stop();
        Thread.sleep(3000);
        record.line("the last event that the channel could write to a connection: " + channel.lastTold);
        int late = 0;
        int old = 0;
        synchronized (sent) {
            for (Sent s : sent) {
                boolean after = s.host.equals("s-00000004") && s.atMs > toldMs + GRACE_MS;
                late += after ? 1 : 0;
                long olderThan = 0;
                for (long purge : PURGES) {
                    if (s.sinceMs < purge && s.atMs > purge + TOLD_AFTER_SILENCE_MS + PURGE_GRACE_MS) {
                        olderThan = purge;
                    }
                }
                old += olderThan > 0 ? 1 : 0;
                record.raw(String.format("%7d  came: %s, %s, %016x%s%s", s.atMs - record.startMs, s.host, s.how, s.id,
                        after ? ", after the grace of the drain" : "", olderThan == 0 ? "" : ", answered from a copy of "
                                + (s.sinceMs - record.startMs) + ", older than the purge of " + (olderThan - record.startMs)));
            }
        }
        record.raw("told at the latest at " + (toldMs - record.startMs) + ", nothing new after " + (toldMs + GRACE_MS - record.startMs));
        record.raw("answers " + load.ends() + ", requests and sources seen by hosts " + sent.size());
        for (String line : dispatcher.log().split("\n")) {
            record.raw("its log: " + line.substring(0, Math.min(300, line.length())));
        }
        load.dump(record);
        dispatcher.end();
        String drain = "; " + late + " requests or sources went to the draining host after its grace";
        record.end(old == 0 ? 0 : 1, old == 0 ? "held: nothing was answered from a purged copy after the grace" + drain
                : "broken: " + old + " requests were answered from purged copies after the grace" + drain);
    }
}
