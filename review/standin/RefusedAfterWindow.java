import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A probe, not a case (see REPORT.md): a request with a key ran, its answer was lost, the dispatcher refuses it after the window of the
 * key, and the client comes again as the refusal says. How often does it run?
 */
final class RefusedAfterWindow {
    private static final int WINDOW_MS = 1000;

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Record record = new Record(args[0]);
        Map<String, Long> remembered = new ConcurrentHashMap<>();
        Map<String, Integer> runs = new ConcurrentHashMap<>();
        AtomicInteger count = new AtomicInteger();
        Host.Handler origin = (host, request) -> {
            String key = request.fields.get("nonce");
            Long first = remembered.get(key);
            boolean runsNow = first == null || request.atMs - first > WINDOW_MS;
            if (runsNow) {
                remembered.put(key, request.atMs);
                runs.merge(key, 1, Integer::sum);
            }
            boolean lost = trouble && count.incrementAndGet() % 4 == 0;
            record.line(key + (runsNow ? " runs" : " is a repeat") + (lost ? ", answer lost" : ""));
            if (!lost) {
                request.answer(Host.OK, "rev=4be0c1927d55a6f3,since=" + request.atMs + ",tell=via_origin", new byte[100]);
            }
        };
        Host.Handler cache = (host, request) -> request.answer(Host.MISS, "", new byte[0]);
        List<String> entries = new ArrayList<>();
        for (int i = 1; i <= 3; i++) {
            entries.add(Settings.entry("s-0000000" + i, new Host("s-0000000" + i, cache).address(), "std", "active", 0));
        }
        entries.add(Settings.entry("o-00000001", new Host("o-00000001", origin).address(), "origin", "active", 0));
        Discovery channel = new Discovery(1, record);
        Dispatcher dispatcher = new Dispatcher();
        String lanes = "[" + Settings.lane("purchase", "idempotency_key", 3000, 700, WINDOW_MS) + "]";
        dispatcher.start(Settings.config(dispatcher.port, channel.address(), entries, 1024, lanes, "[true]", "[0]"));
        Client client = new Client(dispatcher.port);
        int again = 0;
        for (int i = 0; i < 40; i++) {
            Client.Call call = null;
            for (int t = 0; t < 2; t++) {
                call = new Client.Call(String.format("%016x", 0x9b1f000000000000L + 2 * i + t), "purchase", String.format("%016x", 77L + i), 1500);
                Map<String, String> fields = Client.fields(call, 10, 17);
                fields.put("k", String.format("%032x", 1000 + i));
                if (t == 1) {
                    fields.put("r", "1");
                }
                client.send(call, fields, new byte[10]);
                while (call.end == null && System.currentTimeMillis() < call.sentMs + 2000) {
                    Thread.sleep(5);
                }
                record.line(call.toString());
                if (!"Overloaded".equals(call.end)) {
                    break;
                }
                Thread.sleep(500); // w of the refusal: maxRetryAfterNs
                again += t == 0 ? 1 : 0;
            }
        }
        long twice = runs.values().stream().filter(n -> n > 1).count();
        dispatcher.end();
        record.end(twice == 0 ? 0 : 1, twice + " of " + runs.size() + " keys ran twice; " + again + " refused requests came again");
    }
}
