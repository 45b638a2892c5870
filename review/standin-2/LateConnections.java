import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.channels.SocketChannel;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Case: the command channel tells in one event that a cache has left and that a parent drains, while
 * the connections to that cache and to another one are late.
 */
final class LateConnections {
    private static final int ROUNDS = 4;
    // plant-caches: 250 ms; each limit is 50 ms longer on sockets. And some slack for the stand-ins.
    private static final int GRACE_MS = 250 + 50;
    private static final int SLACK_MS = 50;
    private static final int OTHER_ZONE = 45;

    /** The cache and the fill source of the first attempt for each object. */
    private static final Map<Long, String> FIRST = new ConcurrentHashMap<>();

    private static volatile double toldAtMs = Double.MAX_VALUE;
    private static volatile int checked;
    private static volatile int late;

    private LateConnections() {}

    public static void main(String[] args) throws IOException {
        Run.main(args, LateConnections::run);
    }

    /** Notes a request that has come whole to a host, and whether it should not have been sent. */
    private static synchronized void note(String host, Wire.Frame request) {
        double afterMs = Record.ms() - toldAtMs;
        String up = request.fields().get("up");
        boolean barred = host.equals("s-a") || host.equals("p-0") || "p-0".equals(up);
        checked += afterMs >= 0 ? 1 : 0;
        boolean tooLate = barred && afterMs > GRACE_MS + SLACK_MS;
        late += tooLate ? 1 : 0;
        Record.add("%s gets %016x of object %s, up %s%s", host, request.id(), request.fields().get("item"), up,
                tooLate ? String.format(": TOO LATE, %.0f ms after it was told that s-a is gone and p-0 drains", afterMs) : "");
    }

    /** A cache of which the connections do not come up while it is cut off. */
    private static final class Cache implements AutoCloseable {
        private final String name;
        private final ServerSocket listener = new ServerSocket();
        private final List<Socket> sockets = new ArrayList<>();
        private final List<SocketChannel> fillers = new ArrayList<>();
        private volatile boolean cutOff;

        Cache(String name) throws IOException {
            this.name = name;
            listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 1);
            listener.setSoTimeout(2);
            Run.daemon(name, this::accept);
        }

        private void accept() {
            while (!listener.isClosed()) {
                if (cutOff) {
                    Run.sleep(1);
                    continue;
                }
                try {
                    Socket socket = listener.accept();
                    socket.setTcpNoDelay(true);
                    synchronized (sockets) {
                        sockets.add(socket);
                    }
                    Run.daemon("link of " + name, () -> serve(socket));
                } catch (IOException e) {
                    // Nobody came.
                }
            }
        }

        // Answers at once, and closes the connection when nothing more has come for 10 ms.
        private void serve(Socket socket) {
            try (socket;
                    DataInputStream in = new DataInputStream(new BufferedInputStream(socket.getInputStream()))) {
                while (true) {
                    Wire.Frame request = Wire.readFrame(in);
                    if (request.code() == 16) {
                        note(name, request);
                        FIRST.putIfAbsent(
                                Long.parseUnsignedLong(request.fields().get("item"), 16),
                                name + " " + request.fields().get("up"));
                        socket.getOutputStream()
                                .write(Wire.answer(64, request.id(), "rev=4be0c1927d55a6f3,since="
                                        + System.currentTimeMillis() + ",tell=hit", new byte[100]));
                    }
                    socket.setSoTimeout(10);
                }
            } catch (IOException e) {
                // Closed, or idle.
            }
        }

        /** Closes all connections, and leaves no room for new ones: their first packets get lost. */
        void cutOff() throws IOException {
            cutOff = true;
            Run.sleep(10);
            synchronized (sockets) {
                for (Socket socket : sockets) {
                    socket.close();
                }
                sockets.clear();
            }
            for (int i = 0; i < 4; i++) {
                SocketChannel filler = SocketChannel.open();
                filler.configureBlocking(false);
                filler.connect(listener.getLocalSocketAddress());
                fillers.add(filler);
            }
        }

        /** Lets connections come up again: those on their way with their next packet, after a second. */
        void comeBack() throws IOException {
            for (SocketChannel filler : fillers) {
                filler.close();
            }
            fillers.clear();
            cutOff = false;
        }

        String address() {
            return "127.0.0.1:" + listener.getLocalPort();
        }

        @Override
        public void close() throws IOException {
            listener.close();
        }
    }

    private static int run(Path folder) throws Exception {
        Cache gone = Run.closing(new Cache("s-a"));
        Cache slow = Run.closing(new Cache("s-c"));
        CacheHost.Behaviour serve =
                (host, link, request) -> {
                    note(host.name, request);
                    link.answerAfter(20, 64, request.id(), "rev=4be0c1927d55a6f3,since=" + System.currentTimeMillis(),
                            new byte[100]);
                };
        CacheHost drained = Run.closing(new CacheHost("p-0", serve));
        CacheHost parent = Run.closing(new CacheHost("p-1", serve));
        CacheHost origin = Run.closing(new CacheHost("o-0", serve));
        List<String> list = new ArrayList<>();
        list.add(Run.endpoint("s-a", gone.address(), "std", "active", 0));
        list.add(Run.endpoint("s-c", slow.address(), "std", "active", 0));
        list.add(Run.endpoint("p-0", drained.address(), "parent", "active", 0));
        list.add(Run.endpoint("p-1", parent.address(), "parent", "active", 0));
        list.add(Run.endpoint("o-0", origin.address(), "origin", "active", 0));
        for (int i = 0; i < OTHER_ZONE; i++) {
            // Caches of another plant, to which this dispatcher may not send.
            list.add(Run.endpoint("t-" + i, "127.0.0.1:9", "std", "active", 0).replace("main", "lakes"));
        }
        Channel channel = Run.closing(new Channel());
        channel.add(Run.nodes(1, true, list.toArray(new String[0])));
        Node node = Run.closing(new Node("n1", folder));
        String settings =
                Run.PLANT_SETTINGS
                        .replace("'dcs':['main']", "'dcs':['main','lakes']")
                        .replace("'hubByZone':[0]", "'hubByZone':[0,0]")
                        .replace("'inletKbPerS':[0.0]", "'inletKbPerS':[0.0,0.0]")
                        .replace("'seatsByZone':[4]", "'seatsByZone':[2,2]");
        node.start(Run.config(node, channel, 192, 256, settings));
        Client client = Run.closing(new Client("client", node.address));
        ask(client, 1, 80);
        Run.sleep(300);
        List<Long> atGone = new ArrayList<>();
        List<Long> atSlow = new ArrayList<>();
        FIRST.forEach(
                (object, where) -> {
                    if (where.equals("s-a p-1")) {
                        atGone.add(object);
                    } else if (where.startsWith("s-c")) {
                        atSlow.add(object);
                    }
                });
        if (atGone.size() < 3 * ROUNDS || atSlow.size() < 2 * ROUNDS) {
            Record.show("too few objects: %s, %s", atGone, atSlow);
            return Run.NOT_RUN;
        }
        for (int round = 0; round < ROUNDS; round++) {
            if (Run.TROUBLE) {
                gone.cutOff();
                slow.cutOff();
            }
            Run.sleep(200);
            send(client, atSlow.get(2 * round));
            send(client, atSlow.get(2 * round + 1));
            Run.sleep(350);
            for (int i = 0; i < 3; i++) {
                send(client, atGone.get(3 * round + i));
            }
            Run.sleep(100);
            channel.add(Run.nodes(2, false, list.get(0).replace("active", "left"), list.get(2).replace("active", "leaving")));
            toldAtMs = Record.ms();
            Run.sleep(100);
            slow.comeBack();
            Run.sleep(2000);
            ask(client, 1, 20);
            Run.sleep(500);
            gone.comeBack();
            toldAtMs = Double.MAX_VALUE;
            channel.add(Run.nodes(3, false, list.get(0), list.get(2)));
            Run.sleep(300);
            // The cache and the parent are used again, and the dispatcher learns that they are well.
            ask(client, 100, 60);
            Run.sleep(500);
        }
        Run.sleep(6600);
        Record.show("%d requests came to a host after an event that barred s-a and p-0; %d of them over %d ms later, to or by one of these",
                checked, late, GRACE_MS + SLACK_MS);
        int lost = Run.judgeAnswers();
        return late > 0 ? Run.BROKEN : checked == 0 || lost != Run.HELD ? Run.NOT_RUN : Run.HELD;
    }

    private static void ask(Client client, long firstObject, int count) throws IOException {
        for (int i = 0; i < count; i++) {
            send(client, firstObject + i);
            Run.sleep(25);
        }
    }

    private static void send(Client client, long object) throws IOException {
        client.send(new Request("forecast-files", object, 6000, null, null).with("m", "400.0"));
    }
}
