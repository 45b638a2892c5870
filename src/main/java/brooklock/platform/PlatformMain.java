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
 * The program as the platform starts it. The environment variable {@code NODE_CONFIG} names the
 * configuration file.
 *
 * <p>SIGHUP: the configuration is read again, and if the discovery service has another address, the
 * dispatcher moves there ({@link PlatformDispatcher#reload}).
 *
 * <p>SIGTERM: the dispatcher shuts down ({@link PlatformDispatcher#shutDownGracefully}) and the
 * process ends with status 0. The wait has no bound of its own: a platform that wants the process
 * gone kills it.
 *
 * <p>A signal that comes before the dispatcher serves waits until it does. A second SIGTERM changes
 * nothing.
 */
public final class PlatformMain {
    private static final int STATUS_OK = 0;
    private static final int STATUS_FAILED = 1;
    private static final int STATUS_NO_CONFIGURATION = 2;

    private PlatformMain() {}

    /**
     * Runs a dispatcher. Does not return once it serves: SIGTERM ends the process.
     *
     * @param configPath the configuration file, or null if none was named
     * @return the exit status of a dispatcher that can't start
     * @throws InterruptedException if the calling thread is interrupted
     */
    public static int run(String configPath) throws InterruptedException {
        if (configPath == null) {
            System.err.println("brooklock: NODE_CONFIG names no file");
            return STATUS_NO_CONFIGURATION;
        }
        PlatformLogging.enable();
        CompletableFuture<PlatformDispatcher> started = new CompletableFuture<>();
        // Before anything else: a signal without a handler would end the process.
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

    // The tasks report their own failures, so nothing is lost with the future's result.
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
     * Starts a dispatcher without a platform, sends it a health check and shuts it down. A build
     * runs this to make the class archive: it loads what a start loads.
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
            boolean answered = socket.getInputStream().read() >= 0;
            dispatcher.shutDownGracefully();
            return answered;
        }
    }
}
