import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Case: usual clients write a purchase slowly on a connection on which other requests are open,
 * while bad clients by the hundred send half a request each and close.
 */
final class SlowWriters {
    private static final int MEMORY_MB = 192;
    private static final int SOCKETS = 1024;
    private static final int BAD_CLIENTS = Integer.getInteger("bad", 250);
    private static final int SLOW_CLIENTS = 4;
    private static final int LOAD_MS = 15_000;
    private static final int PIECES = 8;
    private static final int PIECE_GAP_MS = Integer.getInteger("gap", 200);

    private SlowWriters() {}

    public static void main(String[] args) throws IOException {
        Run.main(args, SlowWriters::run);
    }

    private static int run(Path folder) throws Exception {
        byte[] item = new byte[60_000];
        CacheHost.Behaviour serve =
                (host, link, request) -> {
                    boolean isItem = request.fields().get("cls").equals("item-media");
                    Record.add("%s gets %s %016x", host.name, request.fields().get("cls"), request.id());
                    link.answerAfter(
                            isItem ? ThreadLocalRandom.current().nextInt(900, 1100) : 60,
                            64,
                            request.id(),
                            "rev=4be0c1927d55a6f3,since=" + (System.currentTimeMillis() - 1000) + ",tell=hit",
                            isItem ? item : new byte[200]);
                };
        Channel channel = Run.closing(new Channel());
        CacheHost[] hosts = new CacheHost[6];
        String[] list = new String[hosts.length];
        String[] types = {"std", "std", "std", "std", "parent", "origin"};
        for (int i = 0; i < hosts.length; i++) {
            hosts[i] = Run.closing(new CacheHost("s-" + i, serve));
            list[i] = Run.endpoint("s-" + i, hosts[i].address(), types[i], "active", 0);
        }
        channel.add(Run.nodes(1, true, list));
        Node node = Run.closing(new Node("n1", folder));
        node.start(Run.config(node, channel, MEMORY_MB, SOCKETS, Run.SHOP_SETTINGS));

        double startMs = Record.ms();
        for (int i = 0; i < SLOW_CLIENTS; i++) {
            int number = i;
            Run.daemon("slow client", () -> writeSlowly(node, number, startMs));
        }
        if (Run.TROUBLE) {
            Run.daemon("bad clients", () -> beBad(node.address, startMs));
        }
        Run.sleep(LOAD_MS + 8000);
        Record.show("the dispatcher %s; it says that it is %s", node.process.isAlive() ? "runs" : "has ended",
                node.isWell(2000) ? "well" : "not well");
        return Run.judgeAnswers();
    }

    // Again and again: three reads that take about a second, then a purchase of 40 KB that is written
    // in eight pieces. A new connection if the old one has ended.
    private static void writeSlowly(Node node, int number, double startMs) {
        Client client = null;
        long object = 1000L * (number + 1);
        while (Record.ms() < startMs + LOAD_MS) {
            try {
                if (client == null || client.ended != null) {
                    client = Run.closing(new Client("slow client " + number, node.address));
                }
                Request purchase =
                        new Request("purchase", object++ % 50 + 1, 3000, Request.hex() + Request.hex(), new byte[40_000]);
                byte[] bytes = client.encode(purchase);
                for (int k = 0; k < 3; k++) {
                    client.send(new Request("item-media", object++ % 50 + 1, 5000, null, null).with("m", "2400.0"));
                }
                for (int i = 0; i < PIECES; i++) {
                    if (i == PIECES - 1) {
                        client.beforeLastByte(purchase);
                    }
                    client.write(bytes, bytes.length * i / PIECES, bytes.length * (i + 1) / PIECES);
                    if (i < PIECES - 1) {
                        Run.sleep(PIECE_GAP_MS);
                    }
                }
            } catch (IOException e) {
                Record.add("slow client %d cannot send: %s", number, e);
            }
            Run.sleep(300);
        }
    }

    // Every 1.2 s each bad client sends a purchase but for the end of its body, and closes a second later.
    private static void beBad(InetSocketAddress dispatcher, double startMs) {
        Run.sleep(2000);
        byte[] whole =
                Wire.call(1, "purchase",
                        Map.of("i", Request.hex(), "d", "3000", "k", Request.hex() + Request.hex(), "o", Request.hex()),
                        new byte[48_000]);
        int opened = 0;
        while (Record.ms() < startMs + LOAD_MS - 3000) {
            List<SocketChannel> channels = new ArrayList<>();
            try {
                for (int i = 0; i < BAD_CLIENTS; i++) {
                    SocketChannel channel = SocketChannel.open();
                    channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
                    channel.socket().connect(dispatcher, 2000);
                    channels.add(channel);
                    opened++;
                }
                for (SocketChannel channel : channels) {
                    channel.configureBlocking(false);
                    channel.write(ByteBuffer.wrap(whole, 0, whole.length - 1000));
                }
            } catch (IOException e) {
                Record.add("a bad client's connection ended: %s", e);
            }
            Run.sleep(1000);
            for (SocketChannel channel : channels) {
                try {
                    channel.close();
                } catch (IOException e) {
                    // Closed already.
                }
            }
            Run.sleep(200);
        }
        Record.show("the bad clients made %d connections", opened);
    }
}
