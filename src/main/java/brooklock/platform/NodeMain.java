package brooklock.platform;

import brooklock.net.Net;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import sun.misc.Signal;

/** The program as the platform starts it: the configuration's path in {@code NODE_CONFIG}, SIGHUP to read it again. */
public final class NodeMain {
    private NodeMain() {
    }

    /** Runs a dispatcher until SIGTERM; gives the exit status where it can't start. */
    public static int run(String config) throws InterruptedException {
        if (config == null) {
            System.err.println("brooklock: NODE_CONFIG names no file");
            return 2;
        }
        NodeLogs.use();
        CountDownLatch early = new CountDownLatch(1);
        Node[] node = new Node[1];
        // Before anything else: the system's way with an unhandled one is to end the program.
        Signal.handle(new Signal("HUP"), s -> reload(early, node));
        try {
            node[0] = Node.start(Path.of(config));
        } catch (IOException e) {
            System.err.println("brooklock: " + e.getMessage());
            return 1;
        }
        early.countDown();
        Runtime.getRuntime().addShutdownHook(new Thread(() -> end(node[0]), "end"));
        System.err.println("serving " + node[0].address());
        new CountDownLatch(1).await();
        return 0;
    }

    /** Goes the path of a request without a platform, so that a build can keep what a start loads. */
    public static int practice() {
        NodeLogs.use();
        try (Net net = Net.open("practice", 1)) {
            return Practice.run(net.loop(0)) ? 0 : 1;
        } catch (IOException e) {
            System.err.println("brooklock: " + e.getMessage());
            return 1;
        }
    }

    private static void reload(CountDownLatch started, Node[] node) {
        try {
            started.await();
            node[0].reload();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void end(Node node) {
        try {
            node.drain();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            Runtime.getRuntime().halt(0);
        }
    }
}
