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
 * A dispatcher on the operators' platform: its parts, its start, its new configurations and its
 * end. Everything in it runs on one I/O thread; the public methods may be called from any other.
 */
public final class PlatformDispatcher implements Closeable {
    private static final Logger LOG = LoggerFactory.getLogger(PlatformDispatcher.class);
    // Descriptors that the process itself needs: jars, selectors, the listening socket, the
    // connection to the discovery service.
    private static final int RESERVED_DESCRIPTORS = 56;
    // Part of the other descriptors that clients may hold; endpoints have the rest. The protocol
    // lets clients have a third of all.
    private static final double CLIENT_DESCRIPTOR_FRACTION = 0.5;
    // Time for which requests are still accepted after SIGTERM, ns: above the 0.6 s for which
    // clients still send some, and below the 0.7 s that the platform grants beyond the longest
    // deadline before it kills the process.
    private static final long ACCEPT_AFTER_SHUTDOWN_NS = 650_000_000L;
    // A configuration that can't be read may be half written: it is read again so often.
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
        connector =
                new EndpointConnector(
                        new DiscoveredEndpointTable(
                                config.zones(), config.kinds(), clock::fromWallMs),
                        ConnectionSettings.of(
                                loop, this::connect, config, descriptors - clientDescriptors));
        executor =
                new RequestExecutor(
                        RoutingStrategy.newRouter(config.routerSettings()), clock, loop, connector);
        clientListener =
                new ClientListener(
                        loop,
                        config.requestClasses(),
                        clientDescriptors - ClientListener.MAX_CLOSING_CONNECTIONS,
                        executor);
        discoveryClient =
                new DiscoveryClient(
                        loop,
                        config.discoveryAddress(),
                        config.lastSequence(),
                        config.seed(),
                        this::onDiscoveryEvent);
        loop.execute(() -> startOnIoThread(config));
        listeningSocket = clientListener.open(threads, config.listenAddress());
    }

    /**
     * Starts a dispatcher: reads the configuration, starts the I/O thread, runs the start-up
     * warm-up on it, takes the initial discovery events, and listens. It serves once this returns.
     *
     * @param configFile the platform's configuration
     * @throws IOException if the configuration can't be read or its address can't be listened on
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

    /** Returns where clients connect. */
    public InetSocketAddress address() {
        return listeningSocket.address();
    }

    /**
     * Reads the configuration again and moves to its discovery service if that has another address.
     * Nothing else of a running dispatcher changes. A file that can't be read is read again for two
     * seconds; the present address stays in use meanwhile, and after them.
     */
    public void reload() {
        reload(MAX_RELOAD_RETRIES);
    }

    private void reload(int retriesLeft) {
        loop.execute(
                () -> {
                    try {
                        discoveryClient.moveTo(
                                PlatformConfigReader.read(configFile).discoveryAddress());
                    } catch (IOException e) {
                        LOG.warn("configuration not reloaded: {}", e.getMessage());
                        if (retriesLeft > 0) {
                            loop.schedule(RELOAD_RETRY_DELAY_NS, () -> reload(retriesLeft - 1));
                        }
                    }
                });
    }

    /**
     * Shuts down gracefully and returns once no client connection is left, however long that takes:
     *
     * <ol>
     *   <li>health checks are answered false at once, so that no new clients come;
     *   <li>requests are accepted for another 0.65 s, then rejected;
     *   <li>connections that the operating system has accepted by then are taken, and the listening
     *       socket closes;
     *   <li>each client's connection closes gracefully once all of its requests have their
     *       responses.
     * </ol>
     *
     * @throws InterruptedException if the caller is interrupted; the shutdown goes on
     */
    public void shutDownGracefully() throws InterruptedException {
        CountDownLatch allClosed = new CountDownLatch(1);
        loop.execute(clientListener::reportUnhealthy);
        loop.schedule(
                ACCEPT_AFTER_SHUTDOWN_NS, () -> clientListener.shutDown(allClosed::countDown));
        allClosed.await();
    }

    /** Closes everything at once; open requests get no response. */
    @Override
    public void close() throws IOException {
        listeningSocket.close();
        threads.close();
    }
}
