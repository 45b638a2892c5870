import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One real dispatcher: the process that the line run of deploy/balancer.toml starts. */
final class Dispatcher {
    final Path folder;
    final Path config;
    final int port;
    Process process;

    Dispatcher() throws IOException {
        folder = Files.createTempDirectory("case");
        config = folder.resolve("config.json");
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            port = free.getLocalPort();
        }
    }

    /** Starts it and waits until it answers isWell with true. */
    void start(String configText) throws Exception {
        Files.writeString(config, configText);
        Path root = Path.of(System.getProperty("root"));
        Matcher run = Pattern.compile("(?m)^run = \"([^\"]*)\"").matcher(Files.readString(root.resolve("deploy/balancer.toml")));
        if (!run.find()) {
            throw new IOException("no line run in the deploy file");
        }
        ProcessBuilder b = new ProcessBuilder("/bin/sh", "-c", run.group(1));
        b.directory(root.toFile());
        b.environment().put("NODE_NAME", "n1");
        b.environment().put("NODE_LISTEN", "127.0.0.1:" + port);
        b.environment().put("NODE_CONFIG", config.toString());
        b.environment().put("TMPDIR", folder.toString());
        File log = folder.resolve("log").toFile();
        b.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.to(log));
        process = b.start();
        Runtime.getRuntime().addShutdownHook(new Thread(() -> process.destroyForcibly()));
        long until = System.currentTimeMillis() + 30_000;
        while (System.currentTimeMillis() < until && process.isAlive()) {
            try (Client c = new Client(port)) {
                c.health();
                for (int i = 0; i < 20 && c.well == null; i++) {
                    Thread.sleep(50);
                }
                if (Boolean.TRUE.equals(c.well)) {
                    return;
                }
            } catch (IOException notYet) {
                Thread.sleep(100);
            }
        }
        throw new IOException("the dispatcher did not become ready: " + Files.readString(log.toPath()));
    }

    void signal(String name) throws Exception {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).inheritIO().start().waitFor();
    }

    String log() throws IOException {
        return Files.readString(folder.resolve("log"));
    }

    /** Ends the process and removes its folder. */
    void end() throws Exception {
        process.destroyForcibly().waitFor(5, TimeUnit.SECONDS);
        try (var files = Files.walk(folder)) {
            files.sorted(java.util.Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
        }
    }
}
