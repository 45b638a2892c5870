import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Case: a keyed request runs, its answer is lost, and the origin is full for a moment, so the client
 * is refused. Its retry, in time and with the same key, comes upon a connection that is reset.
 */
final class KeyTwice {
    private static final int KEYS = 8;
    private static final int WINDOW_MS = 1600;
    private static final int BACKOFF_MS = 350;
    // How long the origin says nothing to the first attempt of the retry, until that connection is reset.
    private static final int SILENT_MS = 1400;

    /** What the origin knows of a key. */
    private static final class Key {
        final List<Double> sentAtMs = new ArrayList<>();
        final List<Double> ranAtMs = new ArrayList<>();
        int attempts;
    }

    private static final Map<String, Key> KEYS_SEEN = new ConcurrentHashMap<>();

    private KeyTwice() {}

    public static void main(String[] args) throws IOException {
        Run.main(args, KeyTwice::run);
    }

    // The origin drops repeats of a key for WINDOW_MS from its last run: it answers them, but runs
    // nothing.
    private static void onWrite(CacheHost host, CacheHost.Link link, Wire.Frame request) {
        String name = request.fields().get("nonce");
        Key key = KEYS_SEEN.computeIfAbsent(name, unused -> new Key());
        int attempt;
        synchronized (key) {
            attempt = ++key.attempts;
        }
        Record.add("%s: attempt %d with key %s comes, id %016x", host.name, attempt, name, request.id());
        if (Run.TROUBLE && (attempt == 2 || attempt == 3)) {
            // Full: it never ran.
            link.answer(67, request.id(), "", new byte[0]);
        } else if (Run.TROUBLE && attempt == 4) {
            // It is not read; its connection is reset after a while.
            CacheHost.TIMER.schedule(link::reset, SILENT_MS, java.util.concurrent.TimeUnit.MILLISECONDS);
        } else {
            runOrDrop(host, key, name);
            if (Run.TROUBLE && attempt == 1) {
                // It has run; the answer is lost with the connection.
                link.reset();
            } else {
                link.answerAfter(20, 64, request.id(), "rev=4be0c1927d55a6f3,since=" + System.currentTimeMillis(), new byte[10]);
            }
        }
    }

    private static void runOrDrop(CacheHost host, Key key, String name) {
        synchronized (key) {
            double nowMs = Record.ms();
            if (!key.ranAtMs.isEmpty() && nowMs <= key.ranAtMs.get(key.ranAtMs.size() - 1) + WINDOW_MS) {
                Record.add("%s drops the repeat with key %s", host.name, name);
                return;
            }
            key.ranAtMs.add(nowMs);
            Record.add("%s RUNS the request with key %s, run %d", host.name, name, key.ranAtMs.size());
        }
    }

    private static int run(Path folder) throws Exception {
        CacheHost.Behaviour serve =
                (host, link, request) -> {
                    if (request.fields().get("cls").equals("note-append")) {
                        onWrite(host, link, request);
                    } else {
                        link.answerAfter(30, 64, request.id(), "rev=4be0c1927d55a6f3,since=" + System.currentTimeMillis()
                                + ",tell=hit", new byte[1000]);
                    }
                };
        Channel channel = Run.closing(new Channel());
        CacheHost[] hosts = new CacheHost[5];
        String[] list = new String[hosts.length];
        String[] types = {"std", "std", "std", "parent", "origin"};
        for (int i = 0; i < hosts.length; i++) {
            String name = types[i].charAt(0) + "-" + i;
            hosts[i] = Run.closing(new CacheHost(name, serve));
            list[i] = Run.endpoint(name, hosts[i].address(), types[i], "active", 0);
        }
        channel.add(Run.nodes(1, true, list));
        Node node = Run.closing(new Node("n1", folder));
        node.start(Run.config(node, channel, 192, 1024, Run.CLINIC_SETTINGS));
        double endMs = Record.ms() + KEYS * 1000 + 5000;
        Client reader = Run.closing(new Client("reader", node.address));
        Run.daemon("reads", () -> read(reader, endMs));
        Run.sleep(500);
        Thread[] writers = new Thread[KEYS];
        for (int i = 0; i < KEYS; i++) {
            Client client = Run.closing(new Client("writer " + i, node.address));
            String key = Request.hex() + Request.hex();
            writers[i] = Run.daemon("writer", () -> write(client, key));
            Run.sleep(1000);
        }
        Run.sleep(10_000);
        return judge();
    }

    private static void read(Client client, double endMs) {
        try {
            for (int i = 0; Record.ms() < endMs; i++) {
                client.send(new Request("ward-list", i % 100 + 1, 3000, null, null));
                Run.sleep(30);
            }
        } catch (IOException e) {
            Record.show("reads stop: %s", e);
        }
    }

    // One request with up to three tries: a try that is refused is followed by the next after a fixed
    // wait, but only within the window of the key.
    private static void write(Client client, String key) {
        double firstAtMs = Record.ms();
        try {
            for (int attempt = 1; attempt <= 3; attempt++) {
                Request request = new Request("note-append", 77, 2400, key, new byte[300]);
                if (attempt > 1) {
                    request.with("r", "1");
                }
                client.send(request);
                while (request.answers == 0 && Record.ms() < request.sentAtMs + 2400) {
                    Run.sleep(2);
                }
                if (!"Overloaded".equals(request.answer) || Record.ms() + BACKOFF_MS > firstAtMs + WINDOW_MS) {
                    return;
                }
                Run.sleep(BACKOFF_MS);
            }
        } catch (IOException e) {
            Record.show("%s stops: %s", client.name, e);
        }
    }

    private static int judge() {
        int twice = 0;
        for (Map.Entry<String, Key> entry : KEYS_SEEN.entrySet()) {
            List<Double> ran = entry.getValue().ranAtMs;
            if (ran.size() > 1) {
                twice++;
                Record.add("TWICE: the request with key %s ran %d times, the second time %.0f ms after the first", entry.getKey(),
                        ran.size(), ran.get(1) - ran.get(0));
            }
        }
        Record.show("%d keyed requests came to the origin; %d of them ran more than once", KEYS_SEEN.size(), twice);
        int lost = Run.judgeAnswers();
        return twice > 0 ? Run.BROKEN : KEYS_SEEN.size() < KEYS || lost != Run.HELD ? Run.NOT_RUN : Run.HELD;
    }
}
