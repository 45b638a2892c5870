package brooklock.platform;

import brooklock.net.IoLoop;
import brooklock.net.IoThreads;
import brooklock.net.RawConnection;
import brooklock.proxy.MonotonicClock;
import brooklock.proxy.RoutingStrategy;
import brooklock.routing.RouterAction;
import brooklock.routing.RouterEvent;
import java.io.Closeable;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * The parts of a dispatcher with a decider that the test writes, a front on a real socket, and
 * connections to hosts that come up when the test lets them: what crosses is forced.
 */
final class DispatcherFixture implements Closeable {
    /** A connection on its way to a host; the test opens it or lets it fail. */
    record ConnectRequest(
            InetSocketAddress address,
            Consumer<RawConnection> onConnected,
            Consumer<String> onFailed) {}

    /** The far end of a connection to a host. */
    final class EndpointPeer implements RawConnection.EventListener {
        final BlockingQueue<Frame> frames = new LinkedBlockingQueue<>();
        final CountDownLatch closed = new CountDownLatch(1);
        private final FrameDecoder decoder =
                new FrameDecoder(Frame.DISPATCHER_MARK, Frame.REQUEST, Frame.CANCEL);
        private RawConnection stream;

        @Override
        public void onBytes(ByteBuffer in) {
            try {
                for (Frame f = decoder.next(in); f != null; f = decoder.next(in)) {
                    frames.add(f);
                }
            } catch (MalformedMessageException e) {
                throw new IllegalStateException(e);
            }
        }

        @Override
        public void onClose(String why) {
            closed.countDown();
        }

        void respond(int code, long id, String fields) throws Exception {
            respond(code, id, fields, 0);
        }

        void respond(int code, long id, String fields, int bytes) throws Exception {
            onIoThread(
                    () -> {
                        stream.write(
                                FrameEncoder.encode(
                                        Frame.ENDPOINT_MARK, code, id, fields, new byte[bytes]));
                        return null;
                    });
        }

        Frame nextFrame() throws InterruptedException {
            return frames.poll(20, TimeUnit.SECONDS);
        }
    }

    final IoThreads net = IoThreads.start("rig", 1);
    final IoLoop loop = net.loop(0);
    final BlockingQueue<ConnectRequest> connectRequests = new LinkedBlockingQueue<>();
    final BlockingQueue<RouterEvent> events = new LinkedBlockingQueue<>();
    final List<RouterEvent> allEvents = new CopyOnWriteArrayList<>();
    final MonotonicClock clock = new MonotonicClock();
    final RequestExecutor executor;
    final EndpointConnector connector;
    final ClientListener clientListener;
    final InetSocketAddress address;
    private long sequence;

    /**
     * Decides by what is given; hosts are numbered as the table numbers them, see {@link #host}.
     */
    DispatcherFixture(int maxConnections, BiConsumer<RouterEvent, List<RouterAction>> decisions)
            throws Exception {
        PlatformConfig config = PlatformConfig.parse(TestConfigs.config("127.0.0.1:9", List.of()));
        connector =
                new EndpointConnector(
                        loop,
                        new EndpointTable(config.zones(), config.kinds(), clock::fromWallMs),
                        config,
                        maxConnections,
                        (to, limitNs, opened, failed) -> {
                            connectRequests.add(new ConnectRequest(to, opened, failed));
                            return () -> {};
                        });
        executor =
                new RequestExecutor(
                        new RoutingStrategy() {
                            @Override
                            public void start(long now, List<RouterAction> out) {
                                // Nothing is decided before the first event.
                            }

                            @Override
                            public void onEvent(
                                    long now, RouterEvent event, List<RouterAction> out) {
                                allEvents.add(event);
                                events.add(event);
                                decisions.accept(event, out);
                            }
                        },
                        clock,
                        loop,
                        connector);
        clientListener = new ClientListener(loop, config.requestClasses(), 8, executor);
        address =
                onIoThread(
                        () -> {
                            connector.start(executor);
                            executor.start();
                            return clientListener
                                    .open(
                                            net,
                                            new InetSocketAddress(
                                                    InetAddress.getLoopbackAddress(), 0))
                                    .address();
                        });
    }

    /** Runs work on the I/O thread and waits for it. */
    <T> T onIoThread(Callable<T> work) throws Exception {
        CompletableFuture<T> done = new CompletableFuture<>();
        loop.execute(
                () -> {
                    try {
                        done.complete(work.call());
                    } catch (Exception e) {
                        done.completeExceptionally(e);
                    }
                });
        return done.get(20, TimeUnit.SECONDS);
    }

    /** Holds the I/O thread until what is given is run: what peers send meanwhile lies unread. */
    Runnable holdIoThread() throws InterruptedException {
        CountDownLatch held = new CountDownLatch(1);
        CountDownLatch free = new CountDownLatch(1);
        loop.execute(
                () -> {
                    held.countDown();
                    try {
                        free.await();
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                });
        held.await();
        return free::countDown;
    }

    /** Tells of hosts, each in a state. */
    void updateList(String state, String... names) throws Exception {
        List<DiscoveryEvent.Endpoint> entries = new ArrayList<>();
        for (String n : names) {
            entries.add(new DiscoveryEvent.Endpoint(n, "127.0.0.1:7", "west", "box", state, 1, 0));
        }
        onIoThread(
                () -> {
                    connector.onListUpdate(
                            new DiscoveryEvent.EndpointListUpdate(++sequence, false, entries));
                    return null;
                });
    }

    /** The number that the table gives a host. */
    static long endpointId(String name) {
        java.util.zip.CRC32 c = new java.util.zip.CRC32();
        c.update(name.getBytes(java.nio.charset.StandardCharsets.UTF_8));
        return c.getValue();
    }

    /** An attempt at a host that fills from nobody. */
    static RouterAction.StartAttempt attemptAction(
            long request, String host, long limitMs, long beginMs) {
        return new RouterAction.StartAttempt(
                request,
                endpointId(host),
                limitMs * 1_000_000,
                endpointId(host),
                0,
                0,
                false,
                false,
                beginMs * 1_000_000);
    }

    ConnectRequest nextConnectRequest() throws InterruptedException {
        return connectRequests.poll(20, TimeUnit.SECONDS);
    }

    /** Lets a connection come up. */
    EndpointPeer connect(ConnectRequest d) throws Exception {
        EndpointPeer p = new EndpointPeer();
        return onIoThread(
                () -> {
                    RawConnection[] pair = RawConnection.pair(loop);
                    p.stream = pair[1];
                    pair[1].start(p);
                    d.onConnected().accept(pair[0]);
                    return p;
                });
    }

    /** The next event of a kind. */
    <E extends RouterEvent> E nextEvent(Class<E> kind) throws InterruptedException {
        for (RouterEvent e = events.poll(20, TimeUnit.SECONDS);
                e != null;
                e = events.poll(20, TimeUnit.SECONDS)) {
            if (kind.isInstance(e)) {
                return kind.cast(e);
            }
        }
        throw new AssertionError("no " + kind.getSimpleName());
    }

    @Override
    public void close() {
        net.close();
    }
}
