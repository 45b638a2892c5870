package brooklock.platform;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import sun.misc.Signal;

/**
 * The program as the platform starts it: the configuration's path in {@code NODE_CONFIG}, SIGHUP to
 * read it again, SIGTERM to answer what is taken and end.
 */
public final class PlatformMain {
    private PlatformMain() {}

    /** Runs a dispatcher until SIGTERM; gives the exit status where it can't start. */
    public static int run(String configPath) throws InterruptedException {
        if (configPath == null) {
            System.err.println("brooklock: NODE_CONFIG names no file");
            return 2;
        }
        PlatformLogging.enable();
        CompletableFuture<PlatformDispatcher> started = new CompletableFuture<>();
        AtomicBoolean terminating = new AtomicBoolean();
        // Before anything else: the system's way with one that is not handled is to end the
        // program. One that comes before
        // the start is done waits for that; a second notice to end changes nothing.
        Signal.handle(new Signal("HUP"), s -> started.thenAccept(PlatformDispatcher::reload));
        Signal.handle(
                new Signal("TERM"),
                s -> {
                    if (!terminating.getAndSet(true)) {
                        started.thenAccept(PlatformMain::drainAndHalt);
                    }
                });
        System.err.println("starting");
        try {
            PlatformDispatcher node = PlatformDispatcher.start(Path.of(configPath));
            System.err.println("serving " + node.address());
            started.complete(node);
        } catch (IOException | RuntimeException e) {
            System.err.println("brooklock: " + e.getMessage());
            return 1;
        }
        new CountDownLatch(1).await();
        return 0;
    }

    /**
     * Starts a dispatcher without a platform and asks it whether it is well, so that a build can
     * keep what a start loads.
     */
    public static int warmUp() {
        PlatformLogging.enable();
        try (InputStream config = PlatformMain.class.getResourceAsStream("practice.json")) {
            Path file = Files.createTempFile("practice", ".json");
            Files.copy(config, file, StandardCopyOption.REPLACE_EXISTING);
            try (PlatformDispatcher node = PlatformDispatcher.start(file);
                    Socket s =
                            new Socket(
                                    InetAddress.getLoopbackAddress(), node.address().getPort())) {
                s.getOutputStream()
                        .write(
                                new byte[] {
                                    (byte) 0x94,
                                    0,
                                    1,
                                    (byte) 0xa6,
                                    'i',
                                    's',
                                    'W',
                                    'e',
                                    'l',
                                    'l',
                                    (byte) 0x91,
                                    (byte) 0x80
                                });
                boolean answered = s.getInputStream().read() >= 0;
                node.drain();
                return answered ? 0 : 1;
            } finally {
                Files.delete(file);
            }
        } catch (IOException e) {
            System.err.println("brooklock: " + e.getMessage());
            return 1;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return 1;
        }
    }

    private static void drainAndHalt(PlatformDispatcher node) {
        try {
            node.drain();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            Runtime.getRuntime().halt(0);
        }
    }
}
