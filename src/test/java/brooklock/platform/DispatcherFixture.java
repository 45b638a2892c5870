package brooklock.platform;

import brooklock.net.IoLoop;
import brooklock.net.IoThreads;
import brooklock.net.RawConnection;
import brooklock.proxy.MonotonicClock;
import brooklock.proxy.RoutingStrategy;
import brooklock.routing.AttemptOutcome;
import brooklock.routing.EndpointState;
import brooklock.routing.RouterAction;
import brooklock.routing.RouterEvent;
import java.io.Closeable;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.zip.CRC32;

/**
 * The components of a dispatcher with a router that is implemented by the test. Clients connect to
 * a real socket; connections to endpoints are established only when the test does so. The test
 * thereby controls the order of concurrent events.
 */
final class DispatcherFixture implements Closeable {
    /** A pending connection to an endpoint, which the test establishes or fails. */
    record ConnectRequest(
            InetSocketAddress address,
            Consumer<RawConnection> onConnected,
            Consumer<String> onFailed) {}

    /** The endpoint's side of a connection; records the frames that it receives. */
    final class EndpointPeer implements RawConnection.EventListener {
        final BlockingQueue<Frame> frames = new LinkedBlockingQueue<>();
        final CountDownLatch closed = new CountDownLatch(1);
        private final FrameDecoder decoder =
                new FrameDecoder(Frame.DISPATCHER_MAGIC, Frame.REQUEST, Frame.CANCEL);
        private RawConnection transport;

        @Override
        public void onBytes(ByteBuffer input) {
            try {
                for (Frame frame = decoder.next(input);
                        frame != null;
                        frame = decoder.next(input)) {
                    frames.add(frame);
                }
            } catch (MalformedMessageException e) {
                throw new IllegalStateException(e);
            }
        }

        @Override
        public void onClose(String reason) {
            closed.countDown();
        }

        void respond(int code, long id, String fields) throws Exception {
            respond(code, id, fields, 0);
        }

        void respond(int code, long id, String fields, int bytes) throws Exception {
            onIoThread(
                    () -> {
                        transport.write(
                                FrameEncoder.encode(
                                        Frame.ENDPOINT_MAGIC, code, id, fields, new byte[bytes]));
                        return null;
                    });
        }

        /** Writes the first bytes of a response. Returns a task that writes the others. */
        Runnable respondInPart(int code, long id, String fields, int bytes, int sentBytes)
                throws Exception {
            ByteBuffer frame =
                    FrameEncoder.encode(Frame.ENDPOINT_MAGIC, code, id, fields, new byte[bytes]);
            ByteBuffer rest = frame.duplicate().position(sentBytes);
            onIoThread(
                    () -> {
                        transport.write(frame.duplicate().limit(sentBytes));
                        return null;
                    });
            return () -> loop.execute(() -> transport.write(rest));
        }

        Frame nextFrame() throws InterruptedException {
            return frames.poll(20, TimeUnit.SECONDS);
        }
    }

    final IoThreads threads = IoThreads.start("fixture", 1);
    final IoLoop loop = threads.loop(0);
    final BlockingQueue<ConnectRequest> connectRequests = new LinkedBlockingQueue<>();
    final BlockingQueue<RouterEvent> events = new LinkedBlockingQueue<>();
    final List<RouterEvent> allEvents = new CopyOnWriteArrayList<>();
    final MonotonicClock clock = new MonotonicClock();
    final RequestExecutor executor;
    final EndpointConnector connector;
    final MemoryBudget memory;
    final ClientListener clientListener;
    final InetSocketAddress address;
    private long sequence;

    /**
     * Starts a dispatcher.
     *
     * @param maxConnections maximum number of connections to all endpoints together
     * @param decisions the router, which adds actions for each event; endpoints have the ids of
     *     {@link #endpointId}
     */
    DispatcherFixture(int maxConnections, BiConsumer<RouterEvent, List<RouterAction>> decisions)
            throws Exception {
        PlatformConfig config =
                PlatformConfigReader.parse(TestConfigs.config("127.0.0.1:9", List.of()));
        memory = new MemoryBudget(Runtime.getRuntime().maxMemory(), loop::execute);
        connector =
                new EndpointConnector(
                        new DiscoveredEndpointTable(
                                config.zones(), config.kinds(), clock::fromWallMs),
                        ConnectionSettings.of(
                                loop,
                                (to, timeoutNs, onConnected, onFailed) -> {
                                    connectRequests.add(
                                            new ConnectRequest(to, onConnected, onFailed));
                                    return () -> {};
                                },
                                config,
                                maxConnections),
                        memory);
        executor =
                new RequestExecutor(
                        new RoutingStrategy() {
                            @Override
                            public void start(long nowNs, List<RouterAction> actions) {
                                // This router makes no decisions before its first event.
                            }

                            @Override
                            public void onEvent(
                                    long nowNs, RouterEvent event, List<RouterAction> actions) {
                                allEvents.add(event);
                                events.add(event);
                                decisions.accept(event, actions);
                            }
                        },
                        clock,
                        loop,
                        connector,
                        memory);
        clientListener = new ClientListener(loop, config.requestClasses(), 8, executor, memory);
        address =
                onIoThread(
                        () -> {
                            connector.start(executor);
                            executor.start();
                            return clientListener
                                    .open(
                                            threads,
                                            new InetSocketAddress(
                                                    InetAddress.getLoopbackAddress(), 0))
                                    .address();
                        });
    }

    /** Runs a task on the I/O thread, waits for it and returns its result. */
    <T> T onIoThread(Callable<T> task) throws Exception {
        CompletableFuture<T> result = new CompletableFuture<>();
        loop.execute(
                () -> {
                    try {
                        result.complete(task.call());
                    } catch (Exception e) {
                        result.completeExceptionally(e);
                    }
                });
        return result.get(20, TimeUnit.SECONDS);
    }

    /**
     * Blocks the I/O thread until the returned task is run. Input that arrives meanwhile stays
     * unread.
     */
    Runnable blockIoThread() throws InterruptedException {
        CountDownLatch blocked = new CountDownLatch(1);
        CountDownLatch released = new CountDownLatch(1);
        loop.execute(
                () -> {
                    blocked.countDown();
                    try {
                        released.await();
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                });
        blocked.await();
        return released::countDown;
    }

    /** Applies a list update in which all specified endpoints have the same state. */
    void updateList(EndpointState state, String... names) throws Exception {
        updateList(state, 0, names);
    }

    /**
     * Applies a list update in which all specified endpoints have the same state and start time.
     * Each has an address of its own.
     */
    void updateList(EndpointState state, long startedAtMs, String... names) throws Exception {
        List<DiscoveryEvent.Endpoint> entries = new ArrayList<>();
        for (String name : names) {
            String address = "127.0.0.1:" + (1 + endpointId(name) % 65_535);
            entries.add(
                    new DiscoveryEvent.Endpoint(
                            name, address, "west", "box", Optional.of(state), 1, startedAtMs));
        }
        onIoThread(
                () -> {
                    connector.onListUpdate(
                            new DiscoveryEvent.EndpointListUpdate(++sequence, false, entries));
                    return null;
                });
    }

    /** Returns the id that the endpoint table assigns to an endpoint. */
    static long endpointId(String name) {
        CRC32 crc = new CRC32();
        crc.update(name.getBytes(StandardCharsets.UTF_8));
        return crc.getValue();
    }

    /** Returns an action that starts an attempt without a fill. */
    static RouterAction.StartAttempt startAttemptAction(
            long request, String endpoint, long timeoutMs, long startWithinMs) {
        return new RouterAction.StartAttempt(
                request,
                endpointId(endpoint),
                timeoutMs * 1_000_000,
                endpointId(endpoint),
                0,
                0,
                false,
                false,
                startWithinMs * 1_000_000);
    }

    /**
     * Returns a router that starts one attempt at an endpoint for each request and rejects the
     * request if the attempt fails.
     */
    static BiConsumer<RouterEvent, List<RouterAction>> rejectingUnlessServedBy(String endpoint) {
        return (event, actions) -> {
            if (event instanceof RouterEvent.RequestReceived received) {
                actions.add(startAttemptAction(received.id(), endpoint, 2000, 2000));
            } else if (event instanceof RouterEvent.KeyedRetryReceived retry) {
                actions.add(startAttemptAction(retry.request().id(), endpoint, 2000, 2000));
            } else if (event instanceof RouterEvent.AttemptCompleted completed
                    && completed.outcome() != AttemptOutcome.OK) {
                actions.add(new RouterAction.RejectRequest(completed.id(), 0));
            }
        };
    }

    /** Waits for the next connection that the dispatcher opens to an endpoint. */
    ConnectRequest nextConnectRequest() throws InterruptedException {
        return connectRequests.poll(20, TimeUnit.SECONDS);
    }

    /** Establishes a pending connection and returns the endpoint's side. */
    EndpointPeer connect(ConnectRequest request) throws Exception {
        EndpointPeer peer = new EndpointPeer();
        return onIoThread(
                () -> {
                    RawConnection[] pair = RawConnection.pair(loop);
                    peer.transport = pair[1];
                    pair[1].start(peer);
                    request.onConnected().accept(pair[0]);
                    return peer;
                });
    }

    /** Waits for the next event of the specified type and drops events of other types. */
    <E extends RouterEvent> E nextEvent(Class<E> kind) throws InterruptedException {
        for (RouterEvent event = events.poll(20, TimeUnit.SECONDS);
                event != null;
                event = events.poll(20, TimeUnit.SECONDS)) {
            if (kind.isInstance(event)) {
                return kind.cast(event);
            }
        }
        throw new AssertionError("expected event " + kind.getSimpleName() + " within 20 s");
    }

    @Override
    public void close() {
        threads.close();
    }
}
