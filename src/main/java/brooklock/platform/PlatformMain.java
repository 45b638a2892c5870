package brooklock.platform;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import sun.misc.Signal;

/**
 * The entry point of a dispatcher on the platform. The environment variable {@code NODE_CONFIG}
 * names the configuration file.
 *
 * <p>SIGHUP reloads the configuration and reconnects to the discovery service if its address has
 * changed ({@link PlatformDispatcher#reload}).
 *
 * <p>SIGTERM shuts the dispatcher down ({@link PlatformDispatcher#shutDownGracefully}) and ends the
 * process with status 0. The shutdown has no time limit; the platform kills a process that takes
 * too long.
 *
 * <p>Signals that arrive during the start are handled once the dispatcher serves clients. A second
 * SIGTERM has no effect.
 */
public final class PlatformMain {
    private static final int STATUS_OK = 0;
    private static final int STATUS_FAILED = 1;
    private static final int STATUS_NO_CONFIGURATION = 2;

    private PlatformMain() {}

    /**
     * Runs a dispatcher. Returns only if the start fails; otherwise the process ends on SIGTERM.
     *
     * @param configPath the path of the configuration file; null if {@code NODE_CONFIG} is not set
     * @return the exit status of a dispatcher that failed to start
     * @throws InterruptedException if the calling thread is interrupted
     */
    public static int run(String configPath) throws InterruptedException {
        if (configPath == null) {
            System.err.println("brooklock: NODE_CONFIG names no file");
            return STATUS_NO_CONFIGURATION;
        }
        PlatformLogging.enable();
        CompletableFuture<PlatformDispatcher> started = new CompletableFuture<>();
        // Installed before the start: a signal without a handler would end the process.
        handleSignals(started);
        System.err.println("starting");
        try {
            PlatformDispatcher dispatcher = PlatformDispatcher.start(Path.of(configPath));
            System.err.println("serving " + dispatcher.address());
            started.complete(dispatcher);
        } catch (IOException | RuntimeException e) {
            System.err.println("brooklock: " + e.getMessage());
            return STATUS_FAILED;
        }
        new CountDownLatch(1).await();
        return STATUS_OK;
    }

    private static void handleSignals(CompletableFuture<PlatformDispatcher> started) {
        AtomicBoolean terminating = new AtomicBoolean();
        Signal.handle(
                new Signal("HUP"), signal -> whenStarted(started, PlatformDispatcher::reload));
        Signal.handle(
                new Signal("TERM"),
                signal -> {
                    if (!terminating.getAndSet(true)) {
                        whenStarted(started, PlatformMain::shutDownAndHalt);
                    }
                });
    }

    // The returned future is ignored because the tasks report their own failures.
    private static void whenStarted(
            CompletableFuture<PlatformDispatcher> started, Consumer<PlatformDispatcher> task) {
        CompletableFuture<Void> unused = started.thenAccept(task);
    }

    private static void shutDownAndHalt(PlatformDispatcher dispatcher) {
        try {
            dispatcher.shutDownGracefully();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            Runtime.getRuntime().halt(STATUS_OK);
        }
    }

    /**
     * Starts a dispatcher without a platform, sends it a health check and shuts it down. The build
     * runs this method to create the class archive, since it loads the same classes as a start.
     *
     * @return the exit status
     */
    public static int runForClassArchive() {
        PlatformLogging.enable();
        try {
            Path configFile = Files.createTempFile("startup-warmup", ".json");
            try {
                copyWarmupConfig(configFile);
                return answersHealthCheck(configFile) ? STATUS_OK : STATUS_FAILED;
            } finally {
                Files.delete(configFile);
            }
        } catch (IOException e) {
            System.err.println("brooklock: " + e.getMessage());
            return STATUS_FAILED;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return STATUS_FAILED;
        }
    }

    private static void copyWarmupConfig(Path configFile) throws IOException {
        try (InputStream config = StartupWarmup.openConfig()) {
            Files.copy(config, configFile, StandardCopyOption.REPLACE_EXISTING);
        }
    }

    private static boolean answersHealthCheck(Path configFile)
            throws IOException, InterruptedException {
        try (PlatformDispatcher dispatcher = PlatformDispatcher.start(configFile);
                Socket socket =
                        new Socket(
                                InetAddress.getLoopbackAddress(), dispatcher.address().getPort())) {
            ByteBuffer healthCheck = RpcEncoder.healthCheck(1);
            byte[] bytes = new byte[healthCheck.remaining()];
            healthCheck.get(bytes);
            socket.getOutputStream().write(bytes);
            boolean receivedResponse = socket.getInputStream().read() >= 0;
            dispatcher.shutDownGracefully();
            return receivedResponse;
        }
    }
}
