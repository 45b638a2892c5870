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
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;

/**
 * Runs one dispatcher of a test: as a process of its own, or within this one where a test wants its
 * own routing strategy. Its state may be read from any thread; starts and kills must not overlap.
 */
abstract class DispatcherRunner {
    final String name;
    final Path settingsFile;
    final String settings;
    volatile InetSocketAddress clientAddress;
    volatile InetSocketAddress controlAddress;
    volatile boolean alive;

    /** When it was killed last, {@link System#nanoTime}; 0 for never. */
    volatile long lastKilledNs;

    private final AtomicInteger startCount = new AtomicInteger();

    /** Creates a runner that writes its settings to a file at each start. */
    DispatcherRunner(String name, Path settingsFile, String settings) {
        this.name = name;
        this.settingsFile = settingsFile;
        this.settings = settings;
    }

    /** Number of its present or last run, from 1; 0 before the first. */
    final int incarnation() {
        return startCount.get();
    }

    /**
     * Starts it, from the second time on at the same addresses.
     *
     * @throws IOException if it does not start
     */
    final void start() throws IOException {
        Files.writeString(
                settingsFile,
                "name "
                        + name
                        + "\nlisten 127.0.0.1:"
                        + port(clientAddress)
                        + "\ncontrol 127.0.0.1:"
                        + port(controlAddress)
                        + "\n"
                        + settings);
        launch();
        startCount.incrementAndGet();
        alive = true;
    }

    private static int port(InetSocketAddress address) {
        return address == null ? 0 : address.getPort();
    }

    /** Kills it without any notice. */
    final void kill() {
        alive = false;
        lastKilledNs = System.nanoTime();
        terminate();
    }

    /** Starts it from its settings, and sets its ports. */
    abstract void launch() throws IOException;

    abstract void terminate();

    final void setPorts(int clientPort, int controlPort) {
        clientAddress = new InetSocketAddress(InetAddress.getLoopbackAddress(), clientPort);
        controlAddress = new InetSocketAddress(InetAddress.getLoopbackAddress(), controlPort);
    }

    /** A dispatcher in this process, with a routing strategy. */
    static DispatcherRunner inProcess(
            String name,
            Path file,
            String settings,
            Function<RouterSettings, RoutingStrategy> strategyFactory) {
        return new InProcess(name, file, settings, strategyFactory);
    }

    /** A dispatcher as a process of its own, killed as by the system. */
    static DispatcherRunner ownProcess(String name, Path file, String settings) {
        return new OwnProcess(name, file, settings);
    }

    private static final class InProcess extends DispatcherRunner {
        private final Function<RouterSettings, RoutingStrategy> strategyFactory;
        private Dispatcher dispatcher;

        InProcess(
                String name,
                Path file,
                String settings,
                Function<RouterSettings, RoutingStrategy> strategyFactory) {
            super(name, file, settings);
            this.strategyFactory = strategyFactory;
        }

        @Override
        void launch() throws IOException {
            try {
                dispatcher = Dispatcher.start(SettingsReader.read(settingsFile), strategyFactory);
                setPorts(dispatcher.address().getPort(), dispatcher.controlAddress().getPort());
            } catch (SettingsException e) {
                throw new IOException(e.getMessage(), e);
            }
        }

        @Override
        void terminate() {
            dispatcher.close();
        }
    }

    private static final class OwnProcess extends DispatcherRunner {
        private static final String READY_WORD = "listening";

        /** Dispatchers do not outlive the harness, however it ends. */
        private static final Set<Process> RUNNING = ConcurrentHashMap.newKeySet();

        static {
            Runtime.getRuntime()
                    .addShutdownHook(
                            new Thread(
                                    () -> RUNNING.forEach(Process::destroyForcibly),
                                    "end-dispatchers"));
        }

        private Process process;

        OwnProcess(String name, Path file, String settings) {
            super(name, file, settings);
        }

        // The dispatcher prints "listening PORT control PORT" once it listens.
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
                                    settingsFile.toString())
                            .redirectError(settingsFile.resolveSibling(name + ".log").toFile())
                            .start();
            RUNNING.add(process);
            BufferedReader out =
                    new BufferedReader(
                            new InputStreamReader(
                                    process.getInputStream(), StandardCharsets.UTF_8));
            String line = out.readLine();
            if (line == null || !line.startsWith(READY_WORD + " ")) {
                process.destroyForcibly();
                throw new IOException("the dispatcher " + name + " did not start: " + line);
            }
            String[] words = line.split(" ", -1);
            setPorts(Integer.parseInt(words[1]), Integer.parseInt(words[3]));
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
    }
}
