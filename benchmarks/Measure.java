import brooklock.testserver.LoadGenerator;
import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URL;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Runs the measurements of docs/measurements.md: the same load directly to a server, through {@link
 * BareRelay} and through a dispatcher.
 */
public final class Measure {
    private static final long SECOND_NS = 1_000_000_000L;

    /** A server process with its ports; {@code control} is 0 if it has no control listener. */
    private record Peer(Process process, int port, int control) {
        double cpuSeconds() {
            return process.info().totalCpuDuration().orElseThrow().toNanos() / 1e9;
        }

        long rssKb() throws Exception {
            for (String l : Files.readAllLines(Path.of("/proc/" + process.pid() + "/status"))) {
                if (l.startsWith("VmRSS:")) {
                    return Long.parseLong(l.replaceAll("\\D", ""));
                }
            }
            return 0;
        }
    }

    public static void main(String[] args) throws Exception {
        int rounds = args.length > 0 ? Integer.parseInt(args[0]) : 3;
        int seconds = args.length > 1 ? Integer.parseInt(args[1]) : 5;
        Path dir = Files.createTempDirectory("brooklock-measure");
        Peer server = start("FixedServer");
        Peer relay = start("BareRelay", Integer.toString(server.port), "2");
        Path conf = dir.resolve("edge.conf");
        StringBuilder hosts = new StringBuilder();
        for (int i = 1; i <= 8; i++) {
            hosts.append("host c")
                    .append(i)
                    .append(" cache here 127.0.0.1:")
                    .append(server.port)
                    .append('\n');
        }
        Files.writeString(
                conf,
                "name edge\nlisten 127.0.0.1:0\ncontrol 127.0.0.1:0\nzone hub\nzone here hub hub\n"
                        + "here here\nclass page safe aim 1s stretch 2 deadline 9s\nclass huge safe aim 9s deadline 20s streamed\n"
                        + "route GET /1k/{object} page\nroute GET /1m/{object} page\nroute GET /100m/{object} huge\n"
                        + hosts
                        + "host o1 origin hub 127.0.0.1:"
                        + server.port
                        + "\nlimits threads 2 open 40000 clients 20000\n");
        Peer edge = start("brooklock.Main", "serve", conf.toString());
        try {
            Map<String, Peer> by = new LinkedHashMap<>();
            by.put("straight", server);
            by.put("relay", relay);
            by.put("edge", edge);
            for (String size : List.of("1k", "1m")) {
                Map<String, List<Double>> rates = new LinkedHashMap<>();
                Map<String, List<Double>> cpu = new LinkedHashMap<>();
                for (int r = 0; r <= rounds; r++) {
                    for (String name : by.keySet()) {
                        Peer p = by.get(name);
                        double before = p.cpuSeconds();
                        LoadGenerator.Result got = load(p.port, size, 0, 64, seconds);
                        double spent = p.cpuSeconds() - before;
                        System.out.println(
                                size + " " + name + (r == 0 ? " (warm-up)" : "") + ": " + got);
                        if (r > 0) {
                            rates.computeIfAbsent(name, k -> new ArrayList<>())
                                    .add(got.perSecond());
                            cpu.computeIfAbsent(name, k -> new ArrayList<>())
                                    .add(1e6 * spent / (got.perSecond() * (seconds + 1)));
                        }
                    }
                }
                System.out.printf(
                        "== %s: edge %.2f of the relay's rate; CPU us a request: relay %.0f, edge %.0f%n",
                        size,
                        median(rates.get("edge")) / median(rates.get("relay")),
                        median(cpu.get("relay")),
                        median(cpu.get("edge")));
            }
            String before = state(edge);
            for (String name : by.keySet()) {
                System.out.println(
                        "3,200/s of 1 KB, "
                                + name
                                + ": "
                                + load(by.get(name).port, "1k", 3200, 256, seconds));
            }
            String after = state(edge);
            System.out.printf(
                    "== decision thread at 3,200/s: %.1f%% of its time, longest queue since the start %s%n",
                    (number(after, "decision-busy-us") - number(before, "decision-busy-us"))
                            / 1e4
                            / (seconds + 1),
                    (long) number(after, "decision-longest"));
            crowds(edge);
        } finally {
            edge.process.destroyForcibly();
            relay.process.destroyForcibly();
            server.process.destroyForcibly();
        }
    }

    private static void crowds(Peer edge) throws Exception {
        System.out.printf("== RSS with no clients: %d MB%n", edge.rssKb() / 1024);
        List<Socket> idle = new ArrayList<>();
        for (int i = 0; i < 10_000; i++) {
            idle.add(new Socket(InetAddress.getLoopbackAddress(), edge.port));
        }
        Thread.sleep(2000);
        System.out.printf(
                "== RSS with 10,000 idle clients: %d MB, heap %s%n",
                edge.rssKb() / 1024, heap(edge));
        for (Socket s : idle) {
            s.close();
        }
        List<Socket> slow = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            Socket s = new Socket();
            s.setReceiveBufferSize(4096);
            s.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), edge.port));
            s.getOutputStream()
                    .write(
                            "GET /100m/a HTTP/1.1\r\nHost: a\r\n\r\n"
                                    .getBytes(StandardCharsets.ISO_8859_1));
            slow.add(s);
        }
        long until = System.nanoTime() + 5 * SECOND_NS;
        while (System.nanoTime() - until < 0) {
            for (Socket s : slow) {
                s.getInputStream().read(new byte[200]);
            }
            Thread.sleep(200);
        }
        System.out.printf(
                "== RSS with 200 readers of 1 KB/s of 100 MB each: %d MB, heap %s%n",
                edge.rssKb() / 1024, heap(edge));
        System.out.println("== others meanwhile: " + load(edge.port, "1k", 1000, 64, 3));
        for (Socket s : slow) {
            s.close();
        }
    }

    private static String heap(Peer p) throws Exception {
        Process j =
                new ProcessBuilder(
                                Path.of(System.getProperty("java.home"), "bin", "jcmd").toString(),
                                Long.toString(p.process.pid()),
                                "GC.heap_info")
                        .start();
        String out = new String(j.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        return out.lines()
                .filter(l -> l.contains("used"))
                .findFirst()
                .map(String::trim)
                .orElse("not told");
    }

    private static LoadGenerator.Result load(
            int port, String size, double rate, int connections, int seconds) throws Exception {
        return LoadGenerator.run(
                new LoadGenerator.Plan(
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), port),
                        "a",
                        rate,
                        connections,
                        2,
                        SECOND_NS,
                        seconds * SECOND_NS,
                        i -> "/" + size + "/o" + i % 500));
    }

    private static String state(Peer p) throws Exception {
        return new String(
                new URL("http://127.0.0.1:" + p.control + "/state").openStream().readAllBytes(),
                StandardCharsets.UTF_8);
    }

    private static double number(String state, String name) {
        return state.lines()
                .filter(l -> l.startsWith(name + " "))
                .mapToDouble(l -> Double.parseDouble(l.substring(name.length() + 1)))
                .findFirst()
                .orElse(0);
    }

    private static double median(List<Double> all) {
        List<Double> sorted = new ArrayList<>(all);
        sorted.sort(null);
        return sorted.get(sorted.size() / 2);
    }

    private static Peer start(String main, String... args) throws Exception {
        List<String> line =
                new ArrayList<>(
                        List.of(
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "-Xmx1g",
                                "-cp",
                                System.getProperty("java.class.path"),
                                main));
        line.addAll(List.of(args));
        Process p = new ProcessBuilder(line).redirectError(ProcessBuilder.Redirect.INHERIT).start();
        BufferedReader in =
                new BufferedReader(
                        new InputStreamReader(p.getInputStream(), StandardCharsets.UTF_8));
        String[] w = in.readLine().split(" ");
        return new Peer(p, Integer.parseInt(w[1]), w.length > 3 ? Integer.parseInt(w[3]) : 0);
    }
}
