package brooklock.platform;

import brooklock.net.ConnectAttempt;
import brooklock.net.IoLoop;
import brooklock.net.IoThreads;
import brooklock.net.RawListener;
import brooklock.proxy.MonotonicClock;
import brooklock.proxy.RoutingStrategy;
import brooklock.routing.RouterEvent;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A dispatcher on the operators' platform: its parts, its start, its new configurations and its
 * end.
 */
public final class PlatformDispatcher implements Closeable {
    private static final Logger LOG = LoggerFactory.getLogger(PlatformDispatcher.class);
    // Descriptors that the process itself needs: its jars, its selectors, the listener, the command
    // channel.
    private static final int RESERVED_DESCRIPTORS = 56;
    // Part of the rest that clients may hold; the protocol lets them have a third of all.
    private static final double CLIENT_DESCRIPTOR_FRACTION = 0.5;
    // After a notice to end, requests are taken for so long, ns. Clients send some for 0.6 s more,
    // and what is taken has to
    // end before the platform kills the process, the longest deadline and 0.7 s after the notice.
    private static final long DRAIN_NS = 650_000_000L;
    // A configuration that can't be read is read again so often, after this time each, ns.
    private static final int MAX_RELOAD_RETRIES = 20;
    private static final long STATS_INTERVAL_NS = 1_000_000_000L;
    private static final long RELOAD_RETRY_DELAY_NS = 100_000_000L;

    private final Path configFile;
    private final IoThreads net;
    private final IoLoop loop;
    private final MonotonicClock clock = new MonotonicClock();
    private final RequestExecutor executor;
    private final EndpointConnector connector;
    private final ClientListener clientListener;
    private final DiscoveryClient discoveryClient;
    private final RawListener listeningSocket;

    private PlatformDispatcher(Path configFile, PlatformConfig config, IoThreads net)
            throws IOException {
        this.configFile = configFile;
        this.net = net;
        loop = net.loop(0);
        int descriptors =
                Math.max(
                        4 * ClientListener.MAX_CLOSING_CONNECTIONS,
                        config.maxDescriptors() - RESERVED_DESCRIPTORS);
        int clientDescriptors = (int) (descriptors * CLIENT_DESCRIPTOR_FRACTION);
        connector =
                new EndpointConnector(
                        loop,
                        new EndpointTable(config.zones(), config.kinds(), clock::fromWallMs),
                        config,
                        descriptors - clientDescriptors,
                        (address, limitNs, onConnected, onFailed) ->
                                ConnectAttempt.connect(
                                                loop, address, limitNs, onConnected, onFailed)
                                        ::cancel);
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
        listeningSocket = clientListener.open(net, config.listenAddress());
    }

    /**
     * Starts a dispatcher; it serves once this returns.
     *
     * @throws IOException where the configuration can't be read or the address is not to be had
     */
    public static PlatformDispatcher start(Path configFile) throws IOException {
        PlatformConfig config = PlatformConfig.read(configFile);
        IoThreads net = IoThreads.start(config.name(), 1);
        StartupWarmup.run(net.loop(0));
        try {
            return new PlatformDispatcher(configFile, config, net);
        } catch (IOException e) {
            net.close();
            throw e;
        }
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
            long now = clock.nowNs();
            executor.submit(
                    new RouterEvent.PurgeReceived(
                            purge.objectId(),
                            purge.group(),
                            now - clock.fromWallMs(purge.purgedAtMs())));
            connector.onPurge(purge.objectId(), purge.group());
        }
    }

    /** Where clients connect. */
    public InetSocketAddress address() {
        return listeningSocket.address();
    }

    /** Reads the configuration again: the command channel may have moved. */
    public void reload() {
        reload(MAX_RELOAD_RETRIES);
    }

    private void reload(int retriesLeft) {
        loop.execute(
                () -> {
                    try {
                        discoveryClient.moveTo(PlatformConfig.read(configFile).discoveryAddress());
                    } catch (IOException e) {
                        LOG.warn("configuration not taken: {}", e.getMessage());
                        if (retriesLeft > 0) {
                            loop.schedule(RELOAD_RETRY_DELAY_NS, () -> reload(retriesLeft - 1));
                        }
                    }
                });
    }

    /** Serves what is taken and what still comes, then returns. */
    public void drain() throws InterruptedException {
        CountDownLatch drained = new CountDownLatch(1);
        loop.execute(clientListener::startDraining);
        loop.schedule(DRAIN_NS, () -> clientListener.shutDown(drained::countDown));
        drained.await();
    }

    @Override
    public void close() throws IOException {
        listeningSocket.close();
        net.close();
    }
}
