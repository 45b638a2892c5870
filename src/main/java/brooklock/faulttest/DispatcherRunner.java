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
 * Runs one dispatcher of a test, either in a separate process or, with a routing strategy of the
 * test's choice, in this process. A dispatcher can be killed and started again any number of times;
 * calls of {@link #start} and {@link #kill} must not overlap. The state may be read from any
 * thread.
 */
abstract class DispatcherRunner {
    final String name;
    final Path settingsFile;
    final String settings;
    volatile InetSocketAddress clientAddress;
    volatile InetSocketAddress controlAddress;
    volatile boolean alive;

    /** When the dispatcher was last killed, {@link System#nanoTime}; 0 if it never was. */
    volatile long lastKilledNs;

    private final AtomicInteger startCount = new AtomicInteger();

    /** Creates a runner that writes the settings to {@code settingsFile} at each start. */
    DispatcherRunner(String name, Path settingsFile, String settings) {
        this.name = name;
        this.settingsFile = settingsFile;
        this.settings = settings;
    }

    /**
     * Returns the number of the current or last run, starting at 1, or 0 before the first start.
     */
    final int incarnation() {
        return startCount.get();
    }

    /**
     * Starts the dispatcher. Every later start uses the addresses of the first start.
     *
     * @throws IOException if the settings cannot be written or the dispatcher does not start
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

    /** Kills the dispatcher without a graceful shutdown. */
    final void kill() {
        alive = false;
        lastKilledNs = System.nanoTime();
        terminate();
    }

    /** Starts the dispatcher from its settings file, waits until it listens, and sets its ports. */
    abstract void launch() throws IOException;

    /** Terminates the dispatcher and returns when it has ended. */
    abstract void terminate();

    final void setPorts(int clientPort, int controlPort) {
        clientAddress = new InetSocketAddress(InetAddress.getLoopbackAddress(), clientPort);
        controlAddress = new InetSocketAddress(InetAddress.getLoopbackAddress(), controlPort);
    }

    /** Creates a runner of a dispatcher in this process that uses a routing strategy. */
    static DispatcherRunner inProcess(
            String name,
            Path file,
            String settings,
            Function<RouterSettings, RoutingStrategy> strategyFactory) {
        return new InProcess(name, file, settings, strategyFactory);
    }

    /**
     * Creates a runner of a dispatcher in a separate process. {@link #kill} terminates the process
     * forcibly.
     */
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

        /** The running processes, destroyed at exit so that no dispatcher outlives the harness. */
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
                throw new IOException(
                        "dispatcher "
                                + name
                                + " did not start: expected a line that begins with '"
                                + READY_WORD
                                + "' but received "
                                + line);
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
