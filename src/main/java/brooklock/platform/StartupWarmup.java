package brooklock.platform;

import brooklock.net.IoLoop;
import brooklock.net.RawConnection;
import brooklock.proxy.MonotonicClock;
import brooklock.proxy.RoutingStrategy;
import brooklock.routing.RouterEvent;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs requests within the program before clients come, so that the classes of a request's path are
 * linked and its hottest methods compiled. It has a client, endpoints and a router of its own,
 * which are dropped afterwards, and uses pipes instead of sockets.
 *
 * <p>Without it the first requests would be late while their code is still interpreted. The router
 * would take that for overloaded endpoints and reject requests after each start.
 *
 * <p>{@link #run} waits on the starting thread; everything else is on the I/O thread.
 */
final class StartupWarmup {
    private static final Logger LOG = LoggerFactory.getLogger(StartupWarmup.class);
    private static final String CONFIG_RESOURCE = "startup-warmup.json";
    private static final int ROUNDS = 6;
    private static final int CALLS_PER_ROUND = 16;
    // It ends after this time however far it is, ns: to serve late is worse than to be slow at
    // first.
    private static final long MAX_DURATION_NS = 1_500_000_000L;
    private static final long POLL_INTERVAL_NS = 1_000_000L;
    private static final int BODY_BYTES = 20_000;
    // Endpoints in the configuration; each may have a connection for each call of a round.
    private static final int ENDPOINTS = 5;

    private final IoLoop loop;
    private final EndpointConnector connector;
    private final RequestExecutor executor;
    private final ClientListener clientListener;
    private final PlatformConfig config;
    private final CountDownLatch done = new CountDownLatch(1);
    private final long endAtNs = System.nanoTime() + MAX_DURATION_NS;
    private RawConnection client;
    private int round;
    private long lastMessageId;

    private StartupWarmup(IoLoop loop, PlatformConfig config) {
        this.loop = loop;
        this.config = config;
        MonotonicClock clock = new MonotonicClock();
        connector =
                new EndpointConnector(
                        new DiscoveredEndpointTable(
                                config.zones(), config.kinds(), clock::fromWallMs),
                        ConnectionSettings.of(
                                loop, this::connect, config, CALLS_PER_ROUND * ENDPOINTS));
        executor =
                new RequestExecutor(
                        RoutingStrategy.newRouter(config.routerSettings()), clock, loop, connector);
        clientListener = new ClientListener(loop, config.requestClasses(), 1, executor);
    }

    /** Opens the configuration that a warm-up uses. */
    static InputStream openConfig() {
        return StartupWarmup.class.getResourceAsStream(CONFIG_RESOURCE);
    }

    /**
     * Runs a warm-up and returns once it has ended. A failed one is logged; the start goes on.
     *
     * @param loop an I/O thread that has nothing else to do yet
     */
    static void run(IoLoop loop) {
        try (InputStream in = openConfig()) {
            String text = new String(in.readAllBytes(), StandardCharsets.UTF_8);
            StartupWarmup warmup = new StartupWarmup(loop, PlatformConfigReader.parse(text));
            loop.execute(warmup::start);
            if (!warmup.done.await(2 * MAX_DURATION_NS, TimeUnit.NANOSECONDS)) {
                LOG.warn("start-up warm-up failed: it did not end in time");
            }
        } catch (IOException e) {
            LOG.warn("start-up warm-up failed: {}", e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void start() {
        try {
            RawConnection[] pair = RawConnection.pair(loop);
            client = pair[0];
            client.start(new DiscardingListener());
            clientListener.accept(pair[1]);
            connector.start(executor);
            executor.start();
            connector.onListUpdate(
                    (DiscoveryEvent.EndpointListUpdate) config.initialEvents().get(0));
            runRound();
        } catch (IOException e) {
            LOG.warn("start-up warm-up failed: {}", e.getMessage());
            done.countDown();
        }
    }

    private void runRound() {
        if (executor.openRequests() > 0 && System.nanoTime() < endAtNs) {
            loop.schedule(POLL_INTERVAL_NS, this::runRound);
        } else if (round == ROUNDS || System.nanoTime() >= endAtNs) {
            client.close();
            connector.close();
            done.countDown();
        } else {
            round++;
            executor.submit(new RouterEvent.PurgeReceived(round, 0, 1));
            for (int i = 0; i < CALLS_PER_ROUND; i++) {
                client.write(encodeCall(++lastMessageId, i));
            }
            loop.schedule(POLL_INTERVAL_NS, this::runRound);
        }
    }

    // The first object of a round is written, the others are read.
    private static ByteBuffer encodeCall(long messageId, int index) {
        boolean write = index == 0;
        String id = String.format("%016x", messageId);
        String[] fields = {
            ClientRequestParser.ID,
            id,
            ClientRequestParser.TIMEOUT,
            "1000",
            ClientRequestParser.OBJECT,
            String.format("%016x", index + 1),
            ClientRequestParser.PART,
            "0",
            ClientRequestParser.GROUP,
            "1",
            ClientRequestParser.SIZE,
            "20.5",
            write ? ClientRequestParser.IDEMPOTENCY_KEY : ClientRequestParser.ETAG,
            write ? id + id : id
        };
        return RpcEncoder.call(
                messageId, write ? "write" : "read", fields, new byte[write ? 1 : 0]);
    }

    private Runnable connect(
            InetSocketAddress address,
            long timeoutNs,
            Consumer<RawConnection> onConnected,
            Consumer<String> onFailed) {
        loop.execute(
                () -> {
                    try {
                        RawConnection[] pair = RawConnection.pair(loop);
                        pair[1].start(new SimulatedEndpoint(pair[1]));
                        onConnected.accept(pair[0]);
                    } catch (IOException e) {
                        onFailed.accept(String.valueOf(e.getMessage()));
                    }
                });
        return () -> {};
    }

    /** Reads responses and drops them. */
    private static class DiscardingListener implements RawConnection.EventListener {
        @Override
        public void onBytes(ByteBuffer in) {
            in.position(in.limit());
        }

        @Override
        public void onClose(String reason) {
            // Nothing here waits for more.
        }
    }

    /** Serves every request from its cache. */
    private static final class SimulatedEndpoint extends DiscardingListener {
        private static final byte[] BODY = new byte[BODY_BYTES];
        private static final String FIELDS = "tell=hit,fill=1.5,rev=1,since=1";
        private final FrameDecoder decoder =
                new FrameDecoder(Frame.DISPATCHER_MARK, Frame.REQUEST, Frame.CANCEL);
        private final RawConnection transport;

        SimulatedEndpoint(RawConnection transport) {
            this.transport = transport;
        }

        @Override
        public void onBytes(ByteBuffer in) {
            try {
                for (Frame frame = decoder.next(in); frame != null; frame = decoder.next(in)) {
                    transport.write(
                            FrameEncoder.encode(
                                    Frame.ENDPOINT_MARK, Frame.OK, frame.id(), FIELDS, BODY));
                }
            } catch (MalformedMessageException e) {
                transport.close();
            }
        }

        @Override
        public void onClose(String reason) {
            transport.close();
        }
    }
}
