import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.nio.file.Path;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Case 6: for some seconds, bad clients by the hundred send half a request each. Usual clients send
 * some tens of requests a second before, meanwhile and after.
 */
final class HalfHeads {
    private static final int MEMORY_MB = 2048;
    private static final int SOCKETS = 4096;
    // With the usual clients well below a third of the descriptors, which is 1,365.
    private static final int BAD_CLIENTS = Integer.getInteger("bad", 1100);
    private static final int BAD_FROM_MS = 3000;
    private static final int BAD_UNTIL_MS = 9000;
    private static final int LOAD_MS = 20_000;
    // A request up to the middle of the head of its message id: array of 4, type 0, and two of the
    // four bytes of a number of 32 bits.
    private static final byte[] HALF = {(byte) 0x94, 0, (byte) 0xce, 0, 0};

    private HalfHeads() {}

    public static void main(String[] args) throws IOException {
        Run.main(args, HalfHeads::run);
    }

    private static int run(Path folder) throws Exception {
        byte[] item = new byte[100_000];
        byte[] page = new byte[15_000];
        CacheHost.Behaviour serve =
                (host, link, request) -> {
                    boolean isItem = request.fields().get("cls").equals("item-media");
                    link.answerAfter(
                            isItem ? ThreadLocalRandom.current().nextInt(200, 300) : 40,
                            64,
                            request.id(),
                            "rev=4be0c1927d55a6f3,since=" + (System.currentTimeMillis() - 1000) + ",tell=hit",
                            isItem ? item : page);
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
        if (Run.TROUBLE) {
            Run.daemon("bad clients", () -> beBad(node.address, startMs));
        }
        Client[] clients = new Client[8];
        for (int i = 0; i < clients.length; i++) {
            clients[i] = Run.closing(new Client("c" + i, node.address));
        }
        for (long sent = 0; Record.ms() < startMs + LOAD_MS; sent++) {
            Client client = clients[(int) (sent % clients.length)];
            // A usual client whose connection has ended does without it; so the load falls then.
            if (client.ended == null && client.open.size() < 32) {
                boolean isItem = sent % 2 == 0;
                try {
                    client.send(
                            new Request(isItem ? "item-media" : "shop-page", sent % 200 + 1, isItem ? 5000 : 2500, null, null)
                                    .with("m", isItem ? "1300.0" : "200.0"));
                } catch (IOException e) {
                    Record.add("%s cannot send: %s", client.name, e);
                }
            }
            Run.sleep(25);
        }
        // The longest deadline, half a second more, and some slack.
        Run.sleep(6500);
        Record.show("the dispatcher %s; it says that it is %s", node.process.isAlive() ? "runs" : "has ended",
                node.isWell(2000) ? "well" : "not well, or says nothing for 2 s");
        return Run.judgeAnswers();
    }

    // Each bad client connects, sends half a request and waits. When the dispatcher closes the
    // connection, or when the time of the trouble has passed, the client closes it too.
    private static void beBad(InetSocketAddress dispatcher, double startMs) {
        Run.sleep(BAD_FROM_MS);
        int opened = 0;
        try (Selector selector = Selector.open()) {
            for (int i = 0; i < BAD_CLIENTS; i++) {
                connect(selector, dispatcher);
                opened++;
                if (i % 50 == 49) {
                    Run.sleep(10);
                }
            }
            Record.show("%d bad clients have connected", opened);
            ByteBuffer dropped = ByteBuffer.allocate(1024);
            while (Record.ms() < startMs + BAD_UNTIL_MS) {
                selector.select(20);
                for (SelectionKey key : selector.selectedKeys()) {
                    SocketChannel channel = (SocketChannel) key.channel();
                    int count;
                    try {
                        count = channel.read(dropped.clear());
                    } catch (IOException e) {
                        count = -1;
                    }
                    if (count < 0) {
                        channel.close();
                        connect(selector, dispatcher);
                        opened++;
                    }
                }
                selector.selectedKeys().clear();
            }
            for (SelectionKey key : selector.keys()) {
                key.channel().close();
            }
        } catch (IOException e) {
            Record.show("the bad clients stop: %s", e);
        }
        Record.show("the bad clients are gone; they made %d connections in all", opened);
    }

    private static void connect(Selector selector, InetSocketAddress dispatcher) throws IOException {
        SocketChannel channel = SocketChannel.open();
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        channel.socket().connect(dispatcher, 2000);
        channel.write(ByteBuffer.wrap(HALF));
        channel.configureBlocking(false);
        channel.register(selector, SelectionKey.OP_READ);
    }
}
