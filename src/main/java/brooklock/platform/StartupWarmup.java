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
 * Runs requests inside the process before clients connect, so that the classes on the request path
 * are linked and its hottest methods are compiled. The warm-up has its own client, endpoints and
 * router, which are dropped afterwards, and connects them by pipes instead of sockets.
 *
 * <p>Without a warm-up the first requests would exceed their latency objective while their code is
 * interpreted. The router would attribute their latency to overloaded endpoints and reject requests
 * after each start.
 *
 * <p>{@link #run} blocks the calling thread; everything else runs on the I/O thread.
 */
final class StartupWarmup {
    private static final Logger LOG = LoggerFactory.getLogger(StartupWarmup.class);
    private static final String CONFIG_RESOURCE = "startup-warmup.json";
    private static final int ROUNDS = 6;
    private static final int CALLS_PER_ROUND = 16;
    // The warm-up ends after this time even if it is incomplete, ns. A longer delay of the start
    // would be worse than slow first requests.
    private static final long MAX_DURATION_NS = 1_500_000_000L;
    private static final long POLL_INTERVAL_NS = 1_000_000L;
    private static final int BODY_BYTES = 20_000;
    // Number of endpoints in the warm-up configuration; an endpoint may need one connection for
    // each call of a round.
    private static final int ENDPOINTS = 5;

    private final IoLoop loop;
    private final EndpointConnector connector;
    private final RequestExecutor executor;
    private final ClientListener clientListener;
    private final PlatformConfig config;
    private final CountDownLatch done = new CountDownLatch(1);
    private final long deadlineNs = System.nanoTime() + MAX_DURATION_NS;
    private RawConnection client;
    private int round;
    private long lastMessageId;

    private StartupWarmup(IoLoop loop, PlatformConfig config) {
        this.loop = loop;
        this.config = config;
        MonotonicClock clock = new MonotonicClock();
        MemoryBudget memory = new MemoryBudget(Runtime.getRuntime().maxMemory(), loop::execute);
        connector =
                new EndpointConnector(
                        new DiscoveredEndpointTable(
                                config.zones(), config.kinds(), clock::fromWallMs),
                        ConnectionSettings.of(
                                loop, this::connect, config, CALLS_PER_ROUND * ENDPOINTS),
                        memory);
        executor =
                new RequestExecutor(
                        RoutingStrategy.newRouter(config.routerSettings()),
                        clock,
                        loop,
                        connector,
                        memory);
        clientListener = new ClientListener(loop, config.requestClasses(), 1, executor, memory);
    }

    /** Opens the configuration of the warm-up, a resource of this package. */
    static InputStream openConfig() {
        return StartupWarmup.class.getResourceAsStream(CONFIG_RESOURCE);
    }

    /**
     * Runs a warm-up and returns once it has ended. A failure is logged and does not prevent the
     * start.
     *
     * @param loop the I/O thread, which must not be in use yet
     */
    static void run(IoLoop loop) {
        try (InputStream configInput = openConfig()) {
            String text = new String(configInput.readAllBytes(), StandardCharsets.UTF_8);
            StartupWarmup warmup = new StartupWarmup(loop, PlatformConfigReader.parse(text));
            loop.execute(warmup::start);
            if (!warmup.done.await(2 * MAX_DURATION_NS, TimeUnit.NANOSECONDS)) {
                LOG.warn(
                        "start-up warm-up failed: not finished within {} ms; the dispatcher starts"
                                + " nevertheless",
                        2 * MAX_DURATION_NS / 1_000_000);
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
        if (executor.openRequests() > 0 && System.nanoTime() < deadlineNs) {
            loop.schedule(POLL_INTERVAL_NS, this::runRound);
        } else if (round == ROUNDS || System.nanoTime() >= deadlineNs) {
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

    // The first call of a round is a write and the others are reads; each call has its own object.
    private static ByteBuffer encodeCall(long messageId, int index) {
        boolean isWrite = index == 0;
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
            isWrite ? ClientRequestParser.IDEMPOTENCY_KEY : ClientRequestParser.ETAG,
            isWrite ? id + id : id
        };
        return RpcEncoder.call(
                messageId, isWrite ? "write" : "read", fields, new byte[isWrite ? 1 : 0]);
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

    /** Reads and discards all input. */
    private static class DiscardingListener implements RawConnection.EventListener {
        @Override
        public void onBytes(ByteBuffer input) {
            input.position(input.limit());
        }

        @Override
        public void onClose(String reason) {
            // Nothing waits for input on this connection.
        }
    }

    /** Responds to every request with a cache hit. */
    private static final class SimulatedEndpoint extends DiscardingListener {
        private static final byte[] BODY = new byte[BODY_BYTES];
        private static final String FIELDS = "tell=hit,fill=1.5,rev=1,since=1";
        private final FrameDecoder decoder =
                new FrameDecoder(Frame.DISPATCHER_MAGIC, Frame.REQUEST, Frame.CANCEL);
        private final RawConnection transport;

        SimulatedEndpoint(RawConnection transport) {
            this.transport = transport;
        }

        @Override
        public void onBytes(ByteBuffer input) {
            try {
                for (Frame frame = decoder.next(input);
                        frame != null;
                        frame = decoder.next(input)) {
                    transport.write(
                            FrameEncoder.encode(
                                    Frame.ENDPOINT_MAGIC, Frame.OK, frame.id(), FIELDS, BODY));
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
