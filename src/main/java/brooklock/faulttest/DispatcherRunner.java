package brooklock.faulttest;

import brooklock.config.SettingsException;
import brooklock.config.SettingsReader;
import brooklock.proxy.Dispatcher;
import brooklock.proxy.RoutingStrategy;
import brooklock.routing.RouterSettings;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;

/**
 * One dispatcher of the day: a process of its own, or within this one where a test wants its own
 * decider.
 */
abstract class DispatcherRunner {
    final String name;
    final Path file;
    final String settings;
    volatile InetSocketAddress clientAddress;
    volatile InetSocketAddress controlAddress;
    volatile boolean alive;

    /** Counts its starts. */
    volatile int incarnation;

    /** When it was killed last, ns; 0 for never. */
    volatile long killedNs;

    DispatcherRunner(String name, Path file, String settings) {
        this.name = name;
        this.file = file;
        this.settings = settings;
    }

    /** Starts it, from the second time on at the same addresses. */
    final void start() throws IOException {
        int clientPort = clientAddress == null ? 0 : clientAddress.getPort();
        int controlPort = controlAddress == null ? 0 : controlAddress.getPort();
        Files.writeString(
                file,
                "name "
                        + name
                        + "\nlisten 127.0.0.1:"
                        + clientPort
                        + "\ncontrol 127.0.0.1:"
                        + controlPort
                        + "\n"
                        + settings);
        launch();
        incarnation++;
        alive = true;
    }

    /** Kills it outright. */
    final void kill() {
        alive = false;
        killedNs = System.nanoTime();
        terminate();
    }

    abstract void launch() throws IOException;

    abstract void terminate();

    final void setPorts(int clientPort, int controlPort) {
        clientAddress = new InetSocketAddress(InetAddress.getLoopbackAddress(), clientPort);
        controlAddress = new InetSocketAddress(InetAddress.getLoopbackAddress(), controlPort);
    }

    /** In this process, deciding as it is told to. */
    static DispatcherRunner inProcess(
            String name,
            Path file,
            String settings,
            Function<RouterSettings, RoutingStrategy> strategyFactory) {
        return new DispatcherRunner(name, file, settings) {
            private Dispatcher edge;

            @Override
            void launch() throws IOException {
                try {
                    edge = Dispatcher.start(SettingsReader.read(file), strategyFactory);
                    setPorts(edge.address().getPort(), edge.controlAddress().getPort());
                } catch (SettingsException e) {
                    throw new IOException(e.getMessage());
                }
            }

            @Override
            void terminate() {
                edge.close();
            }
        };
    }

    // Dispatchers do not outlive the rig, however it ends.
    private static final Set<Process> RUNNING = ConcurrentHashMap.newKeySet();

    static {
        Runtime.getRuntime()
                .addShutdownHook(
                        new Thread(
                                () -> RUNNING.forEach(Process::destroyForcibly),
                                "end-dispatchers"));
    }

    /** A process of its own, killed as by the system. */
    static DispatcherRunner ownProcess(String name, Path file, String settings) {
        return new DispatcherRunner(name, file, settings) {
            private Process process;

            @Override
            void launch() throws IOException {
                process =
                        new ProcessBuilder(
                                        Path.of(System.getProperty("java.home"), "bin", "java")
                                                .toString(),
                                        "-Xmx256m",
                                        "-XX:+UseSerialGC",
                                        "-XX:TieredStopAtLevel=1",
                                        "-cp",
                                        System.getProperty("java.class.path"),
                                        "brooklock.Main",
                                        "serve",
                                        file.toString())
                                .redirectError(file.resolveSibling(name + ".log").toFile())
                                .start();
                RUNNING.add(process);
                BufferedReader out =
                        new BufferedReader(
                                new InputStreamReader(
                                        process.getInputStream(), StandardCharsets.UTF_8));
                String line = out.readLine();
                if (line == null || !line.startsWith("listening ")) {
                    process.destroyForcibly();
                    throw new IOException("the dispatcher " + name + " did not start: " + line);
                }
                String[] w = line.split(" ");
                setPorts(Integer.parseInt(w[1]), Integer.parseInt(w[3]));
            }

            @Override
            void terminate() {
                process.destroyForcibly();
                RUNNING.remove(process);
                try {
                    process.waitFor();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        };
    }
}
