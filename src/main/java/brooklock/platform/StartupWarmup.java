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
 * The path of a request gone a hundred times within the program, before clients come: with hosts
 * and a client of its own, no sockets, an instance of the module that is thrown away. On half a
 * core the first requests of a cold program answer hundreds of milliseconds late, and the module
 * would take that for jammed hosts.
 */
final class StartupWarmup {
    private static final Logger LOG = LoggerFactory.getLogger(StartupWarmup.class);
    // Rounds, and calls of a round: most classes are linked and the hottest methods compiled after
    // a hundred requests; four
    // times as many make a restart 0.3 s longer, which on a day of restarts costs more than it
    // gains.
    private static final int ROUNDS = 6;
    private static final int CALLS_PER_ROUND = 16;
    // It ends after this time however far it is, ns: to be there late is worse than to be slow at
    // first.
    private static final long MAX_DURATION_NS = 1_500_000_000L;
    private static final long POLL_INTERVAL_NS = 1_000_000L;
    private static final int BODY_BYTES = 20_000;
    // Hosts in its configuration; each may have a connection for each call of a round.
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
        EndpointTable table = new EndpointTable(config.zones(), config.kinds(), clock::fromWallMs);
        connector =
                new EndpointConnector(
                        loop, table, config, CALLS_PER_ROUND * ENDPOINTS, this::connect);
        executor =
                new RequestExecutor(
                        RoutingStrategy.newRouter(config.routerSettings()), clock, loop, connector);
        clientListener = new ClientListener(loop, config.requestClasses(), 1, executor);
    }

    /** Runs it on an I/O thread that has nothing else to do yet. */
    static void run(IoLoop loop) {
        try (InputStream in = StartupWarmup.class.getResourceAsStream("practice.json")) {
            StartupWarmup warmup =
                    new StartupWarmup(
                            loop,
                            PlatformConfig.parse(
                                    new String(in.readAllBytes(), StandardCharsets.UTF_8)));
            loop.execute(warmup::start);
            if (!warmup.done.await(2 * MAX_DURATION_NS, TimeUnit.NANOSECONDS)) {
                LOG.warn("no practice: it did not end in time");
            }
        } catch (IOException e) {
            LOG.warn("no practice: {}", e.getMessage());
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
            LOG.warn("no practice: {}", e.getMessage());
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

    private static ByteBuffer encodeCall(long messageId, int objectId) {
        boolean write = objectId == 0;
        ByteBuffer buffer =
                ByteBuffer.allocate(512)
                        .put((byte) 0x94)
                        .put((byte) 0)
                        .put((byte) 0xce)
                        .putInt((int) messageId);
        RpcEncoder.putText(buffer, write ? "write" : "read");
        buffer.put((byte) 0x92).put((byte) 0x87);
        String id = String.format("%016x", messageId);
        String[] fields = {
            "i",
            id,
            "d",
            "1000",
            "o",
            String.format("%016x", objectId + 1),
            "seg",
            "0",
            "bucket",
            "1",
            "m",
            "20.5",
            write ? "k" : "etag",
            write ? id + id : id
        };
        for (String f : fields) {
            RpcEncoder.putText(buffer, f);
        }
        return buffer.put((byte) 0xc4)
                .put((byte) (write ? 1 : 0))
                .put(write ? new byte[1] : new byte[0])
                .flip();
    }

    private Runnable connect(
            InetSocketAddress address,
            long limitNs,
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

    // Reads answers and leaves them.
    private static class DiscardingListener implements RawConnection.EventListener {
        @Override
        public void onBytes(ByteBuffer in) {
            in.position(in.limit());
        }

        @Override
        public void onClose(String why) {
            // Nothing here waits for more.
        }
    }

    // Answers every request well.
    private static final class SimulatedEndpoint extends DiscardingListener {
        private static final byte[] BODY = new byte[BODY_BYTES];
        private final FrameDecoder decoder =
                new FrameDecoder(Frame.DISPATCHER_MARK, Frame.REQUEST, Frame.CANCEL);
        private final RawConnection stream;

        SimulatedEndpoint(RawConnection stream) {
            this.stream = stream;
        }

        @Override
        public void onBytes(ByteBuffer in) {
            try {
                for (Frame f = decoder.next(in); f != null; f = decoder.next(in)) {
                    stream.write(
                            FrameEncoder.encode(
                                    Frame.ENDPOINT_MARK,
                                    Frame.OK,
                                    f.id(),
                                    "tell=hit,fill=1.5,rev=1,since=1",
                                    BODY));
                }
            } catch (MalformedMessageException e) {
                stream.close();
            }
        }

        @Override
        public void onClose(String why) {
            stream.close();
        }
    }
}
