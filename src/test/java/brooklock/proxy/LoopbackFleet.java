package brooklock.proxy;

import brooklock.config.Settings;
import brooklock.config.SettingsReader;
import brooklock.net.IoThreads;
import brooklock.routing.RouterSettings;
import brooklock.testserver.ServerModel;
import brooklock.testserver.TestServer;
import brooklock.testserver.TrafficRecorder;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Function;

/** A small fleet on loopback with one dispatcher before it, and plain sockets to ask it. */
public final class LoopbackFleet implements AutoCloseable {
    public static final long NS_PER_MS = 1_000_000L;
    public final IoThreads net;
    public final TrafficRecorder effectLog = new TrafficRecorder();
    public final Map<String, TestServer> servers = new LinkedHashMap<>();
    public Dispatcher dispatcher;
    private final Path dir;
    private final String extraSettings;

    /** Caches c1.., parents p1.., an origin o1; {@code extra} lines go into the settings. */
    public LoopbackFleet(Path dir, int caches, int parents, String extraSettings) throws Exception {
        this.dir = dir;
        this.extraSettings = extraSettings;
        net = IoThreads.start("bed", 1);
        TestServer origin = addServer("o1", ServerModel.Role.ORIGIN, null);
        for (int i = 1; i <= parents; i++) {
            addServer("p" + i, ServerModel.Role.PARENT, origin.address());
        }
        for (int i = 1; i <= caches; i++) {
            addServer("c" + i, ServerModel.Role.CACHE, null);
        }
    }

    private TestServer addServer(String name, ServerModel.Role role, InetSocketAddress origin)
            throws IOException {
        ServerModel m =
                new ServerModel(
                        name,
                        role,
                        50,
                        50e6,
                        500,
                        1000,
                        0.2,
                        2000 * NS_PER_MS,
                        0,
                        1500 * NS_PER_MS,
                        NS_PER_MS,
                        0);
        TestServer h =
                new TestServer(
                        net,
                        m,
                        effectLog,
                        this::bodySize,
                        c -> 10.0 * NS_PER_MS,
                        origin,
                        servers.size());
        servers.put(name, h);
        return h;
    }

    private int bodySize(String path, String cls) {
        return cls.equals("big") ? 4_000_000 : cls.equals("huge") ? 8_000_000 : 2000;
    }

    public String settingsText() {
        StringBuilder s =
                new StringBuilder(
                        "name d1\nlisten 127.0.0.1:0\ncontrol 127.0.0.1:0\nzone hub\n"
                                + "zone here hub hub\nhere here\n"
                                + "class scans safe aim 500ms stretch 2 deadline 2s\n"
                                + "class big safe aim 3s deadline 6s\n"
                                + "class huge safe aim 3s deadline 6s streamed\n"
                                + "class orders keyed all window 3s through aim 1s deadline 2s\n"
                                + "class notes unsafe through aim 1s deadline 2s\n"
                                + "route GET,HEAD /scans/{group}/{object}/{part} scans\n"
                                + "route GET /big/{object} big\nroute GET /huge/{object} huge\n"
                                + "route POST /orders/{object} orders unkeyed notes\nroute POST /notes/{object} notes\n"
                                + (extraSettings.contains("rights ")
                                        ? "route GET,HEAD /own/{group}/{object}/{part} scans rights\n"
                                                + "route GET /ownbig/{group}/{object} big rights\n"
                                        : ""));
        servers.forEach(
                (name, h) ->
                        s.append("host ")
                                .append(name)
                                .append(' ')
                                .append(h.model().role().name().toLowerCase(java.util.Locale.ROOT))
                                .append(' ')
                                .append(
                                        h.model().role() == ServerModel.Role.CACHE
                                                ? "here "
                                                : "hub ")
                                .append("127.0.0.1:")
                                .append(h.address().getPort())
                                .append('\n'));
        return s.append(extraSettings).append('\n').toString();
    }

    public LoopbackFleet start() throws Exception {
        return start(RoutingStrategy::newRouter);
    }

    public LoopbackFleet start(Function<RouterSettings, RoutingStrategy> strategyFactory)
            throws Exception {
        Settings settings = SettingsReader.parse("bed.conf", dir, settingsText());
        dispatcher = Dispatcher.start(settings, strategyFactory);
        return this;
    }

    /**
     * What came back: the head as text, the body's bytes, and whether the connection ended before
     * its end.
     */
    public record Response(String head, byte[] body, boolean aborted) {
        public int status() {
            return head.length() < 12 ? 0 : Integer.parseInt(head.substring(9, 12));
        }
    }

    public Socket connect() throws IOException {
        Socket s = new Socket(InetAddress.getLoopbackAddress(), dispatcher.address().getPort());
        s.setSoTimeout(20_000);
        s.setTcpNoDelay(true);
        return s;
    }

    public static void write(Socket s, String text) throws IOException {
        s.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        s.getOutputStream().flush();
    }

    public static String get(String path, String fields) {
        return "GET " + path + " HTTP/1.1\r\nHost: a.example\r\n" + fields + "\r\n";
    }

    public static String post(String path, String fields, String body) {
        return "POST "
                + path
                + " HTTP/1.1\r\nHost: a.example\r\nContent-Length: "
                + body.length()
                + "\r\n"
                + fields
                + "\r\n"
                + body;
    }

    /** Connects with TLS as a client with or without a certificate. */
    public javax.net.ssl.SSLSocket connectTls(javax.net.ssl.SSLContext context) throws IOException {
        Socket plain = connect();
        javax.net.ssl.SSLSocket s =
                (javax.net.ssl.SSLSocket)
                        context.getSocketFactory()
                                .createSocket(
                                        plain, "localhost", dispatcher.address().getPort(), true);
        s.startHandshake();
        return s;
    }

    /** Asks once on a connection of its own. */
    public Response send(String request) throws IOException {
        try (Socket s = connect()) {
            write(s, request);
            return readResponse(s.getInputStream());
        }
    }

    public Response sendControl(String method, String target, String body) throws IOException {
        try (Socket s =
                new Socket(
                        InetAddress.getLoopbackAddress(), dispatcher.controlAddress().getPort())) {
            s.setSoTimeout(20_000);
            write(
                    s,
                    method
                            + " "
                            + target
                            + " HTTP/1.1\r\nHost: a\r\nContent-Length: "
                            + body.length()
                            + "\r\n\r\n"
                            + body);
            return readResponse(s.getInputStream());
        }
    }

    /** Reads one answer of a stated length or in chunks. */
    public static Response readResponse(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        try {
            while (!head.toString().endsWith("\r\n\r\n")) {
                int b = in.read();
                if (b < 0) {
                    return new Response(head.toString(), new byte[0], true);
                }
                head.append((char) b);
            }
            String low = head.toString().toLowerCase(java.util.Locale.ROOT);
            int at = low.indexOf("content-length: ");
            if (at < 0) {
                return new Response(head.toString(), new byte[0], false);
            }
            int n = Integer.parseInt(low.substring(at + 16, low.indexOf('\r', at)));
            byte[] body = in.readNBytes(n);
            return new Response(head.toString(), body, body.length < n);
        } catch (java.net.SocketException e) {
            return new Response(head.toString(), new byte[0], true);
        }
    }

    /** What reached hosts for a client's request, in its order. */
    public List<brooklock.testserver.RecordedRequest> recordedRequests(String request) {
        List<brooklock.testserver.RecordedRequest> all = new ArrayList<>();
        effectLog
                .requests()
                .forEach(
                        s -> {
                            if (request.equals(s.request)) {
                                all.add(s);
                            }
                        });
        return all;
    }

    public static void await(String what, BooleanSupplier condition) throws InterruptedException {
        long end = System.nanoTime() + 20_000 * NS_PER_MS;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - end > 0) {
                throw new AssertionError("waited in vain for " + what);
            }
            Thread.sleep(2);
        }
    }

    @Override
    public void close() {
        if (dispatcher != null) {
            dispatcher.close();
        }
        net.close();
    }
}
