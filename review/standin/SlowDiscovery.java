import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;

/** Case: the command channel answers each connection two seconds late. Is a drain kept? */
final class SlowDiscovery {
    private static final int ANSWER_DELAY_MS = 2000;
    private static final int TOLD_AFTER_SILENCE_MS = 4000; // the most that PROTOCOL.md and DAYS.md allow after a break or a stop
    private static final int GRACE_MS = 2000 + 50; // invariants.stopSendingWithinNs, and 50 ms on sockets

    private record Sent(long atMs, String host, String how, long id) {}

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Record record = new Record(args[0]);
        List<Sent> sent = Collections.synchronizedList(new ArrayList<>());
        Host.Handler handler = (host, request) -> {
            sent.add(new Sent(request.atMs, host.name, "request", request.id));
            if (request.fields.containsKey("up")) {
                sent.add(new Sent(request.atMs, request.fields.get("up"), "source named to " + host.name, request.id));
            }
            request.answer(Host.OK, "rev=4be0c1927d55a6f3,since=" + (System.currentTimeMillis() - 1000) + ",tell=hit", new byte[20_000]);
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
        Thread.sleep(25_000);
        load.stop();
        Thread.sleep(3000);
        record.line("the last event that the channel could write to a connection: " + channel.lastTold);
        int late = 0;
        synchronized (sent) {
            for (Sent s : sent) {
                boolean after = s.host.equals("s-00000004") && s.atMs > toldMs + GRACE_MS;
                late += after ? 1 : 0;
                record.raw(String.format("%7d  %s: %s, %s, %016x", s.atMs - record.startMs,
                        after ? "came after the grace" : "came", s.host, s.how, s.id));
            }
        }
        record.raw("told at the latest at " + (toldMs - record.startMs) + ", nothing new after " + (toldMs + GRACE_MS - record.startMs));
        record.raw("answers " + load.ends() + ", requests and sources seen by hosts " + sent.size());
        for (String line : dispatcher.log().split("\n")) {
            record.raw("its log: " + line.substring(0, Math.min(300, line.length())));
        }
        load.dump(record);
        dispatcher.end();
        record.end(late == 0 ? 0 : 1, late == 0 ? "held: nothing new went to the draining host"
                : "broken: " + late + " requests or sources went to the draining host after the grace");
    }
}
