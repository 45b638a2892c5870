import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Case: a dispatcher is told to end while a bad client sends requests that it takes back at once, at
 * full speed. Usual clients have requests open.
 */
final class FloodAtEnd {
    private static final int TERM_MS = 3000;
    // SIGKILL comes no sooner than the longest deadline, counted as 3 s at most, and 0.7 s more.
    private static final int KILL_AFTER_MS = 3750;
    private static final int TIME_MS = 2500;
    // The length of a request with its 'forget'.
    private static final int PAIR_BYTES = Integer.getInteger("pair", 128);
    private static final int PAIRS = 512;

    private FloodAtEnd() {}

    public static void main(String[] args) throws IOException {
        Run.main(args, FloodAtEnd::run);
    }

    private static int run(Path folder) throws Exception {
        byte[] page = new byte[10_000];
        CacheHost.Behaviour serve =
                (host, link, request) ->
                        link.answerAfter(1500, 64, request.id(), "rev=4be0c1927d55a6f3,since="
                                + (System.currentTimeMillis() - 1000) + ",tell=hit", page);
        Channel channel = Run.closing(new Channel());
        CacheHost[] hosts = new CacheHost[5];
        String[] list = new String[hosts.length];
        String[] types = {"std", "std", "std", "parent", "origin"};
        for (int i = 0; i < hosts.length; i++) {
            hosts[i] = Run.closing(new CacheHost("s-" + i, serve));
            list[i] = Run.endpoint("s-" + i, hosts[i].address(), types[i], "active", 0);
        }
        channel.add(Run.nodes(1, true, list));
        Node node = Run.closing(new Node("n1", folder));
        node.start(Run.config(node, channel, 192, 1024, Run.SHOP_SETTINGS));
        double startMs = Record.ms();
        if (Run.TROUBLE) {
            Run.daemon("bad client", () -> flood(node, startMs + TERM_MS + KILL_AFTER_MS));
        }
        Client[] clients = {Run.closing(new Client("c0", node.address)), Run.closing(new Client("c1", node.address))};
        // Each request's time is up, and half a second more, before the kill: the last comes at SIGTERM.
        for (int i = 0; Record.ms() < startMs + TERM_MS; i++) {
            Client client = clients[i % clients.length];
            if (client.ended == null && client.open.size() < 32) {
                client.send(new Request("shop-page", i % 50 + 1, TIME_MS, null, null).with("m", "3000.0"));
            }
            Run.sleep(30);
        }
        double endMs = Record.ms();
        node.signal("TERM");
        while (node.process.isAlive() && Record.ms() < endMs + KILL_AFTER_MS) {
            Run.sleep(10);
        }
        Record.show(node.process.isAlive() ? "the dispatcher still runs %.0f ms after SIGTERM; it is killed"
                : "the dispatcher has ended %.0f ms after SIGTERM", Record.ms() - endMs);
        node.signal("KILL");
        Run.sleep(500);
        return Run.judgeAnswers();
    }

    // Requests in the form of the protocol, each followed at once by its 'forget', again and again;
    // what comes is read.
    private static void flood(Node node, double endMs) {
        ByteArrayOutputStream block = new ByteArrayOutputStream();
        for (int i = 0; i < PAIRS; i++) {
            long number = 1000 + i;
            byte[] forget = Wire.forget(number);
            int length = 0;
            byte[] call = {};
            // The size of the part has as many digits as the length asks for.
            for (String size = "1"; call.length < PAIR_BYTES - forget.length && length < 9; size += "0") {
                Map<String, String> fields = new LinkedHashMap<>();
                fields.put("i", Request.hex());
                fields.put("d", "2500");
                fields.put("o", Request.hex());
                fields.put("seg", "0");
                fields.put("bucket", "17");
                fields.put("etag", Request.hex());
                fields.put("m", size);
                call = Wire.call(number, "shop-page", fields, new byte[0]);
                length++;
            }
            if (call.length != PAIR_BYTES - forget.length) {
                Record.show("a pair of %d bytes cannot be made: %d", PAIR_BYTES, call.length + forget.length);
                return;
            }
            block.writeBytes(call);
            block.writeBytes(forget);
        }
        byte[] bytes = block.toByteArray();
        long sent = 0;
        try (Socket socket = new Socket()) {
            socket.setTcpNoDelay(true);
            socket.connect(node.address, 2000);
            InputStream in = socket.getInputStream();
            Run.daemon("bad client reads", () -> {
                try {
                    byte[] dropped = new byte[1 << 16];
                    while (in.read(dropped) >= 0) {}
                } catch (IOException e) {
                    // Closed.
                }
            });
            while (Record.ms() < endMs) {
                socket.getOutputStream().write(bytes);
                sent += PAIRS;
            }
        } catch (IOException e) {
            Record.add("the bad client's connection ended: %s", e);
        }
        Record.show("the bad client sent %d requests and took each back", sent);
    }
}
