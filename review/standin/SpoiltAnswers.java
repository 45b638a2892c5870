import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/** Case: a share of the good answers stops short. Is every request of the usual clients still answered? */
final class SpoiltAnswers {
    private static final int BODY_BYTES = 240_000; // PROTOCOL.md: an object may contain any bytes, up to 240,000
    private static final double PER_SECOND = 160; // DAYS.md: up to 170 requests a second
    private static final double SPOILT = 0.3; // LATER.md: 18 to 34% of the answers never arrive
    private static final int SLACK_MS = 500; // STANDING.md: up to half a second after its time it only earns nothing
    private static volatile boolean spoil;

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Record record = new Record(args[0]);
        Random random = new Random(11);
        byte[] body = new byte[BODY_BYTES];
        random.nextBytes(body);
        AtomicInteger whole = new AtomicInteger();
        AtomicInteger cut = new AtomicInteger();
        Host.Handler handler = (host, request) -> {
            byte[] frame = Host.frame(Host.OK, request.id,
                    "rev=4be0c1927d55a6f3,since=" + (System.currentTimeMillis() - 1000) + ",tell=hit", body);
            boolean stopShort;
            synchronized (random) {
                stopShort = spoil && random.nextDouble() < SPOILT;
                if (stopShort) {
                    frame = Arrays.copyOf(frame, (int) (frame.length * (0.6 + 0.39 * random.nextDouble())));
                }
            }
            (stopShort ? cut : whole).incrementAndGet();
            record.line(String.format("%s answers %016x, %d bytes%s", host.name, request.id, frame.length, stopShort ? ", stops short" : ""));
            request.connection.write(frame);
        };
        List<String> entries = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            entries.add(Settings.entry("s-0000000" + i, new Host("cache " + i, handler).address(), "std", "active", 0));
        }
        entries.add(Settings.entry("p-00000001", new Host("parent", handler).address(), "parent", "active", 0));
        entries.add(Settings.entry("o-00000001", new Host("origin", handler).address(), "origin", "active", 0));
        Discovery channel = new Discovery(1, record);
        Dispatcher dispatcher = new Dispatcher();
        try {
            dispatcher.start(Settings.config(dispatcher.port, channel.address(), entries, 1024, Settings.shopLanes(),
                    "[false,false,true]", "[0,0,0]").replace("\"flow_bytes_per_s\":310000,\"link_bytes_per_s\":1240000",
                    "\"flow_bytes_per_s\":7600000,\"link_bytes_per_s\":60000000"));
        } catch (Exception e) {
            record.end(2, "could not run: " + e);
        }
        Load load = new Load(dispatcher.port, 60, PER_SECOND, 300, (id, r, more) ->
                new Client.Call(id, "item-media", String.format("%016x", 0x7f3a9c2100000000L + r.nextInt(2000)), 5000));
        Thread.sleep(5000);
        record.line("before: answers " + load.ends() + "; hosts sent " + whole + " whole");
        spoil = trouble;
        for (int s = 0; s < 25; s++) {
            Thread.sleep(1000);
            record.line("answers " + load.ends() + "; hosts sent " + whole + " whole, " + cut + " that stop short; lost "
                    + load.lost(SLACK_MS).size());
        }
        spoil = false;
        record.line("no answer stops short from here on");
        Thread.sleep(5000);
        load.stop();
        Thread.sleep(6000);
        Client probe = new Client(dispatcher.port);
        probe.health();
        Thread.sleep(5000);
        boolean well = Boolean.TRUE.equals(probe.well);
        boolean alive = dispatcher.process.isAlive();
        List<Client.Call> lost = load.lost(SLACK_MS);
        int check = Host.check(new byte[0], body);
        synchronized (load.calls) {
            for (Client.Call c : load.calls) {
                if ("served".equals(c.end) && (c.bodyBytes != BODY_BYTES || c.bodyCheck != check)) {
                    record.raw("served with other bytes: " + c);
                    lost.add(c);
                }
            }
        }
        record.line("end: answers " + load.ends() + "; not sent for want of a free place " + load.notSent);
        record.line("process alive: " + alive + "; isWell answered with true within 5 s: " + well);
        for (Client.Call c : lost) {
            record.raw("lost: sent at " + (c.sentMs - record.startMs) + ": " + c);
        }
        for (String line : dispatcher.log().split("\n")) {
            record.raw("its log: " + line.substring(0, Math.min(300, line.length())));
        }
        load.dump(record);
        dispatcher.end();
        record.end(lost.isEmpty() && alive && well ? 0 : 1, lost.isEmpty() && alive && well
                ? "held: " + load.calls.size() + " requests, all answered"
                : "broken: " + lost.size() + " of " + load.calls.size() + " requests lost; process alive " + alive + ", well " + well);
    }
}
