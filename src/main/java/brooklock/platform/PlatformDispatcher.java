package brooklock.platform;

import brooklock.net.ConnectAttempt;
import brooklock.net.IoLoop;
import brooklock.net.IoThreads;
import brooklock.net.RawConnection;
import brooklock.net.RawListener;
import brooklock.proxy.MonotonicClock;
import brooklock.proxy.RoutingStrategy;
import brooklock.routing.RouterEvent;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A dispatcher on the operators' platform. Creates and connects its components, starts them,
 * reloads the configuration and shuts down. All components run on one I/O thread; the public
 * methods may be called from any other thread.
 */
public final class PlatformDispatcher implements Closeable {
    private static final Logger LOG = LoggerFactory.getLogger(PlatformDispatcher.class);
    // File descriptors reserved for the process itself: jars, selectors, the listening socket and
    // the connections to the discovery service.
    private static final int RESERVED_DESCRIPTORS = 58;
    // Fraction of the unreserved descriptors that clients may use; endpoints use the rest. The
    // protocol grants clients a third of all descriptors.
    private static final double CLIENT_DESCRIPTOR_FRACTION = 0.5;
    // Time for which requests are still accepted after SIGTERM, ns. Longer than the 0.6 s for which
    // clients continue to send requests, and shorter than the 0.7 s that the platform grants beyond
    // the longest deadline before it kills the process.
    private static final long ACCEPT_AFTER_SHUTDOWN_NS = 650_000_000L;
    // A configuration that cannot be read may be partially written, so reading it is retried.
    private static final int MAX_RELOAD_RETRIES = 20;
    private static final long RELOAD_RETRY_DELAY_NS = 100_000_000L;
    private static final long STATS_INTERVAL_NS = 1_000_000_000L;

    private final Path configFile;
    private final IoThreads threads;
    private final IoLoop loop;
    private final MonotonicClock clock = new MonotonicClock();
    private final RequestExecutor executor;
    private final EndpointConnector connector;
    private final ClientListener clientListener;
    private final DiscoveryClient discoveryClient;
    private final RawListener listeningSocket;

    private PlatformDispatcher(Path configFile, PlatformConfig config, IoThreads threads)
            throws IOException {
        this.configFile = configFile;
        this.threads = threads;
        loop = threads.loop(0);
        int descriptors =
                Math.max(
                        4 * ClientListener.MAX_CLOSING_CONNECTIONS,
                        config.maxDescriptors() - RESERVED_DESCRIPTORS);
        int clientDescriptors = (int) (descriptors * CLIENT_DESCRIPTOR_FRACTION);
        MemoryBudget memory = new MemoryBudget(Runtime.getRuntime().maxMemory(), loop::execute);
        connector =
                new EndpointConnector(
                        new DiscoveredEndpointTable(
                                config.zones(), config.kinds(), clock::fromWallMs),
                        ConnectionSettings.of(
                                loop, this::connect, config, descriptors - clientDescriptors),
                        memory);
        executor =
                new RequestExecutor(
                        RoutingStrategy.newRouter(config.routerSettings()),
                        clock,
                        loop,
                        connector,
                        memory);
        clientListener =
                new ClientListener(
                        loop,
                        config.requestClasses(),
                        clientDescriptors - ClientListener.MAX_CLOSING_CONNECTIONS,
                        executor,
                        memory);
        discoveryClient =
                new DiscoveryClient(
                        loop,
                        config.discoveryAddress(),
                        config.lastSequence(),
                        new ReconnectBackoff(config.seed(), config.discoveryGraceNs()),
                        this::onDiscoveryEvent);
        loop.execute(() -> startOnIoThread(config));
        listeningSocket = clientListener.open(threads, config.listenAddress());
    }

    /**
     * Starts a dispatcher: reads the configuration, starts the I/O thread, runs the start-up
     * warm-up on it, processes the initial discovery events, and listens. The dispatcher serves
     * clients when this method returns.
     *
     * @param configFile the platform's configuration file
     * @throws IOException if the configuration cannot be read, or if the listening address is in
     *     use or is not a local address
     */
    public static PlatformDispatcher start(Path configFile) throws IOException {
        PlatformConfig config = PlatformConfigReader.read(configFile);
        IoThreads threads = IoThreads.start(config.name(), 1);
        StartupWarmup.run(threads.loop(0));
        try {
            return new PlatformDispatcher(configFile, config, threads);
        } catch (IOException e) {
            threads.close();
            throw e;
        }
    }

    private Runnable connect(
            InetSocketAddress address,
            long timeoutNs,
            Consumer<RawConnection> onConnected,
            Consumer<String> onFailed) {
        return ConnectAttempt.connect(loop, address, timeoutNs, onConnected, onFailed)::cancel;
    }

    private void startOnIoThread(PlatformConfig config) {
        connector.start(executor);
        executor.start();
        config.initialEvents().forEach(this::onDiscoveryEvent);
        discoveryClient.connect();
        logStats();
    }

    private void logStats() {
        executor.stats()
                .logAndReset(
                        executor.openRequests(),
                        clientListener.connectionCount(),
                        connector::summary);
        loop.schedule(STATS_INTERVAL_NS, this::logStats);
    }

    private void onDiscoveryEvent(DiscoveryEvent event) {
        if (event instanceof DiscoveryEvent.EndpointListUpdate update) {
            connector.onListUpdate(update);
        } else if (event instanceof DiscoveryEvent.Purge purge) {
            long ageNs = clock.nowNs() - clock.fromWallMs(purge.purgedAtMs());
            executor.submit(new RouterEvent.PurgeReceived(purge.objectId(), purge.group(), ageNs));
            connector.onPurge(purge.objectId(), purge.group());
        }
    }

    /** Returns the address on which the dispatcher listens for clients. */
    public InetSocketAddress address() {
        return listeningSocket.address();
    }

    /**
     * Reads the configuration again and reconnects to the discovery service if its address has
     * changed. No other setting of a running dispatcher changes. If the file cannot be read,
     * reading is retried for two seconds; the previous address stays in use until a read succeeds.
     * Returns without waiting for the reload.
     */
    public void reload() {
        reload(MAX_RELOAD_RETRIES);
    }

    private void reload(int retriesLeft) {
        loop.execute(
                () -> {
                    try {
                        discoveryClient.changeAddress(
                                PlatformConfigReader.read(configFile).discoveryAddress());
                    } catch (IOException e) {
                        LOG.warn(
                                "configuration not reloaded: {}; {} retries left",
                                e.getMessage(),
                                retriesLeft);
                        if (retriesLeft > 0) {
                            loop.schedule(RELOAD_RETRY_DELAY_NS, () -> reload(retriesLeft - 1));
                        }
                    }
                });
    }

    /**
     * Shuts down gracefully and waits, without a time limit, until no client connection is left:
     *
     * <ol>
     *   <li>Health checks are answered with false immediately, so that clients choose another
     *       dispatcher.
     *   <li>Requests are accepted for another 0.65 s and then rejected.
     *   <li>Connections that the operating system has established until then are accepted, and the
     *       listening socket closes.
     *   <li>Each client connection closes gracefully once all of its requests have been answered.
     * </ol>
     *
     * @throws InterruptedException if the calling thread is interrupted; the shutdown continues
     */
    public void shutDownGracefully() throws InterruptedException {
        CountDownLatch allClosed = new CountDownLatch(1);
        loop.execute(clientListener::reportUnhealthy);
        loop.schedule(
                ACCEPT_AFTER_SHUTDOWN_NS, () -> clientListener.shutDown(allClosed::countDown));
        allClosed.await();
    }

    /** Closes all sockets and threads immediately; open requests get no response. */
    @Override
    public void close() throws IOException {
        listeningSocket.close();
        threads.close();
    }
}
