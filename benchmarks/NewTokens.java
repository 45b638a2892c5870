import brooklock.config.SettingsReader;
import brooklock.credentials.KeySet;
import brooklock.credentials.KeySetFile;
import brooklock.credentials.TokenSigner;
import brooklock.net.IoThreads;
import brooklock.proxy.Dispatcher;
import brooklock.testserver.LoadGenerator;
import brooklock.testserver.ServerModel;
import brooklock.testserver.TestServer;
import brooklock.testserver.TrafficRecorder;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.KeyPair;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Measures the latency of 1,000 requests a second to a route without authorization while other
 * clients send 0 to 600 new tokens a second, each of which must be verified.
 */
public final class NewTokens {
    public static void main(String[] args) throws Exception {
        Path dir = Files.createTempDirectory("tokens");
        KeyPair pair = KeySetFile.generate("ES256");
        new KeySetFile(dir.resolve("keys"))
                .addKey(KeySetFile.toJwk("k", "ES256", pair, KeySet.State.SIGNING));
        Files.writeString(
                dir.resolve("policy"), "tenant a\nmap claim tenant a a\nallow a * /own/{rest}\n");
        IoThreads net = IoThreads.start("hosts", 1);
        TestServer origin =
                new TestServer(
                        net,
                        new ServerModel(
                                "o1",
                                ServerModel.Role.ORIGIN,
                                5000,
                                1e9,
                                5000,
                                1000,
                                1,
                                1,
                                0,
                                1,
                                1000,
                                0),
                        new TrafficRecorder(),
                        (p, c) -> 1000,
                        c -> 1e5,
                        null,
                        1);
        TestServer cache =
                new TestServer(
                        net,
                        new ServerModel(
                                "c1",
                                ServerModel.Role.CACHE,
                                5000,
                                1e9,
                                5000,
                                1000,
                                1,
                                1,
                                0,
                                1,
                                1000,
                                0),
                        new TrafficRecorder(),
                        (p, c) -> 1000,
                        c -> 1e5,
                        null,
                        2);
        Dispatcher edge =
                Dispatcher.start(
                        SettingsReader.parse(
                                "b",
                                dir,
                                "name d1\nlisten 127.0.0.1:0\ncontrol 127.0.0.1:0\n"
                                        + "zone hub\nzone here hub hub\nhere here\nclass s safe aim 500ms deadline 2s\nlimits threads 2\n"
                                        + "rights policy\ntokens keys\nroute GET /own/{object} s rights\nroute GET /open/{object} s\n"
                                        + "host o1 origin hub 127.0.0.1:"
                                        + origin.address().getPort()
                                        + "\nhost c1 cache here 127.0.0.1:"
                                        + cache.address().getPort()
                                        + "\n"));
        InetSocketAddress to = new InetSocketAddress("127.0.0.1", edge.address().getPort());
        List<String> tokens = new ArrayList<>();
        long exp = System.currentTimeMillis() / 1000 + 600;
        for (int i = 0; i < 6_000; i++) {
            tokens.add(
                    TokenSigner.sign(
                            pair.getPrivate(),
                            "k",
                            Map.of("tenant", "a", "n", "" + i, "exp", exp)));
        }
        LoadGenerator.run(
                new LoadGenerator.Plan(
                        to, "a", 1000, 16, 1, 0, 4_000_000_000L, i -> "/open/o" + i % 100));
        int[] next = new int[1];
        for (int rate : new int[] {0, 100, 300, 600}) {
            Thread beside = new Thread(() -> ask(to, rate, tokens, next));
            beside.start();
            System.out.printf(
                    "%4d new tokens a second: %s%n",
                    rate,
                    LoadGenerator.run(
                            new LoadGenerator.Plan(
                                    to,
                                    "a",
                                    1000,
                                    16,
                                    1,
                                    500_000_000L,
                                    4_000_000_000L,
                                    i -> "/open/o" + i % 100)));
            beside.join();
        }
        System.exit(0);
    }

    private static void ask(InetSocketAddress to, int rate, List<String> tokens, int[] next) {
        long begun = System.nanoTime();
        List<Thread> all = new ArrayList<>();
        for (int t = 0; t < 8 && rate > 0; t++) {
            int mine = t;
            Thread one =
                    new Thread(
                            () -> {
                                try (java.net.Socket s =
                                        new java.net.Socket(to.getAddress(), to.getPort())) {
                                    s.setTcpNoDelay(true);
                                    byte[] in = new byte[65536];
                                    for (int i = 0; i < rate * 5 / 8; i++) {
                                        long due = begun + (long) ((i * 8 + mine) * 1e9 / rate);
                                        java.util.concurrent.locks.LockSupport.parkNanos(
                                                due - System.nanoTime());
                                        int n;
                                        synchronized (next) {
                                            n = next[0]++ % tokens.size();
                                        }
                                        s.getOutputStream()
                                                .write(
                                                        ("GET /own/x HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer "
                                                                        + tokens.get(n)
                                                                        + "\r\n\r\n")
                                                                .getBytes());
                                        s.getInputStream().read(in);
                                    }
                                } catch (java.io.IOException e) {
                                    throw new IllegalStateException(e);
                                }
                            });
            all.add(one);
            one.start();
        }
        for (Thread one : all) {
            try {
                one.join();
            } catch (InterruptedException e) {
                return;
            }
        }
    }
}
