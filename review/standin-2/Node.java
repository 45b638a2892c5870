import java.io.Closeable;
import java.io.DataInputStream;
import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** A dispatcher: the project's program, started by the command that the deploy file gives for it. */
final class Node implements Closeable {
    final String name;
    final InetSocketAddress address;
    final Path config;
    final Path log;
    final String runLine;
    Process process;

    Node(String name, Path folder) throws IOException {
        this.name = name;
        try (ServerSocket free = new ServerSocket()) {
            free.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0));
            address = new InetSocketAddress("127.0.0.1", free.getLocalPort());
        }
        config = folder.resolve(name + ".json");
        log = folder.resolve(name + ".log");
        String line =
                Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
                        .filter(text -> text.startsWith("run = "))
                        .findFirst()
                        .orElseThrow();
        runLine = line.substring(line.indexOf('"') + 1, line.indexOf('"', line.indexOf('"') + 1));
    }

    String listen() {
        return "127.0.0.1:" + address.getPort();
    }

    /** Starts the program and waits until it says that it is well. */
    void start(String configuration) throws IOException, InterruptedException {
        Files.writeString(config, configuration);
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", runLine);
        builder.environment().put("NODE_CONFIG", config.toString());
        builder.environment().put("NODE_NAME", name);
        builder.environment().put("NODE_LISTEN", listen());
        builder.environment().put("TMPDIR", config.getParent().toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(new File(log.toString())));
        process = builder.start();
        Record.add("%s started, process %d", name, process.pid());
        long endNs = System.nanoTime() + 30_000_000_000L;
        while (System.nanoTime() < endNs && process.isAlive()) {
            if (isWell(1000)) {
                Record.add("%s is ready", name);
                return;
            }
            Thread.sleep(20);
        }
        throw new IOException(name + " did not become ready; its log:\n" + Files.readString(log));
    }

    boolean isWell(int timeoutMs) {
        try (Socket socket = new Socket()) {
            socket.connect(address, timeoutMs);
            socket.setSoTimeout(timeoutMs);
            socket.getOutputStream().write(Wire.call(1, "isWell", Map.of(), null));
            List<?> answer = (List<?>) Wire.read(new DataInputStream(socket.getInputStream()));
            return Boolean.TRUE.equals(((List<?>) answer.get(3)).get(0));
        } catch (IOException e) {
            return false;
        }
    }

    void signal(String signal) throws IOException, InterruptedException {
        Record.add("%s to %s", signal, name);
        new ProcessBuilder("/bin/kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    @Override
    public void close() throws IOException {
        if (process != null) {
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
