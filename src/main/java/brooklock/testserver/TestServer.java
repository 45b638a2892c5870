package brooklock.testserver;

import brooklock.http.Fields;
import brooklock.net.ClientLimits;
import brooklock.net.HttpClient;
import brooklock.net.HttpExchange;
import brooklock.net.HttpListener;
import brooklock.net.IoLoop;
import brooklock.net.IoThreads;
import brooklock.net.ServerLimits;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.function.ToDoubleFunction;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * A cache, a parent or the origin on loopback. It runs from its construction until {@link #kill},
 * and again after {@link #restart}. Its state belongs to the single I/O thread of its {@link
 * IoThreads}; its public methods may be called from any thread.
 */
public final class TestServer {
    /** The sizes of the objects at the origin. */
    public interface ObjectSizes {
        /** Returns the size in bytes of the object at a path of a request class. */
        int of(String path, String className);
    }

    private final IoThreads ioThreads;
    private final IoLoop loop;
    private final ServerModel model;
    private final TrafficRecorder traffic;
    private final ObjectSizes sizes;
    private final ToDoubleFunction<String> meanWorkNs;
    private final UniformRandomProvider random;
    private final OverloadModel overloadModel;
    private final ServerLoad load;
    private final CopyStore store;
    private final PurgeRecord purges = new PurgeRecord();
    private final FillTable fills;
    private final ResponseSender sender;

    /** Idempotency keys that the origin has executed, each with the time of its latest request. */
    private final Map<String, Long> executedKeys = new HashMap<>();

    private HttpListener listener;
    private InetSocketAddress address;
    private volatile long startedMs;
    private volatile boolean overloaded;
    private volatile boolean alive = true;

    /** The faults of this server, which may be set at any time. */
    public final InjectedFaults faults = new InjectedFaults();

    /**
     * Starts a server on a free loopback port. The server is warm.
     *
     * @param meanWorkNs returns the transfer time of a mean object of a request class
     * @param origin the address that a parent fills from; null for a cache or the origin
     * @throws IOException if no port is free
     */
    public TestServer(
            IoThreads ioThreads,
            ServerModel model,
            TrafficRecorder traffic,
            ObjectSizes sizes,
            ToDoubleFunction<String> meanWorkNs,
            InetSocketAddress origin,
            long seed)
            throws IOException {
        this(
                ioThreads,
                model,
                traffic,
                sizes,
                meanWorkNs,
                origin,
                seed,
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    }

    /**
     * Starts a server at an address. The server is warm.
     *
     * @param ioThreads one I/O thread, which may serve several servers
     * @param meanWorkNs returns the transfer time of a mean object of a request class
     * @param origin the address that a parent fills from; null for a cache or the origin
     * @throws IOException if the address is in use
     * @throws IllegalArgumentException if {@code ioThreads} does not have exactly one thread
     */
    public TestServer(
            IoThreads ioThreads,
            ServerModel model,
            TrafficRecorder traffic,
            ObjectSizes sizes,
            ToDoubleFunction<String> meanWorkNs,
            InetSocketAddress origin,
            long seed,
            InetSocketAddress address)
            throws IOException {
        if (ioThreads.size() != 1) {
            throw new IllegalArgumentException(
                    "expected exactly one I/O thread, because the state of a test server is not"
                            + " synchronized, but received "
                            + ioThreads.size());
        }
        this.ioThreads = ioThreads;
        this.model = model;
        this.traffic = traffic;
        this.sizes = sizes;
        this.meanWorkNs = meanWorkNs;
        this.address = address;
        loop = ioThreads.loop(0);
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        overloadModel = new OverloadModel(model);
        load = new ServerLoad(model);
        store = new CopyStore(model.maxCopies());
        sender = new ResponseSender(model, load, overloadModel, faults, random);
        HttpClient client = new HttpClient(loop, ClientLimits.STANDARD);
        fills = new FillTable(model, client, store, purges, sender, origin);
        overloadModel.restart(System.nanoTime(), false);
        startListening();
    }

    private void startListening() throws IOException {
        listener =
                HttpListener.open(
                        ioThreads,
                        address,
                        ServerLimits.STANDARD,
                        exchange -> exchange.readBody(body -> onRequest(exchange)));
        address = listener.address();
    }

    /** Returns the server's address, which a restart does not change. */
    public InetSocketAddress address() {
        return address;
    }

    /** Returns the name of the server. */
    public String name() {
        return model.name();
    }

    /** Returns the capacity and limits of the server. */
    public ServerModel model() {
        return model;
    }

    /** Returns the wall clock time of the last restart, in ms since 1970; 0 if there was none. */
    public long startedMs() {
        return startedMs;
    }

    /** Returns whether the server has failed under overload. */
    public boolean isOverloaded() {
        return overloaded;
    }

    // ---- The true state of the server, which dispatchers cannot see

    /** Returns whether the server accepts requests and responds to them. */
    public boolean isUp() {
        return alive && !overloaded && !faults.silent;
    }

    /**
     * Returns the utilization of the server, where 1 is its limit: the open requests or the request
     * rate, each relative to its limit, whichever is higher.
     */
    public double utilization() {
        return load.utilization(System.nanoTime());
    }

    /** Returns the load as a share of the warm-up overload limit; 0 if the server is warm. */
    public double warmUpLoad() {
        return overloadModel.utilization(System.nanoTime());
    }

    /** Returns whether a fill for a part is in flight, which a request could join. */
    public boolean isFilling(long object, int part) {
        return fills.isFilling(new CachedCopy.Key(object, part));
    }

    /** Returns the rate that one more transfer would get, as a share of the full rate. */
    public double nextTransferRateShare() {
        double capacity = model.maxTransfers() * overloadModel.warmUpShare(System.nanoTime());
        return Math.min(1, capacity / (load.openTransfers() + 1)) / faults.slowdown;
    }

    /** Returns the age in ns of the cached copy of a part; -1 if none is cached. */
    public long copyAgeNs(long object, int part) {
        CachedCopy copy = store.peek(new CachedCopy.Key(object, part));
        return copy == null ? -1 : System.nanoTime() - copy.createdNs();
    }

    // ---- Faults and purges

    private void runAndWait(Runnable task) {
        CountDownLatch done = new CountDownLatch(1);
        loop.run(
                () -> {
                    try {
                        task.run();
                    } finally {
                        done.countDown();
                    }
                });
        try {
            done.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Closes the server's port and connections and drops its fills, as if its process had died. */
    public void kill() {
        runAndWait(
                () -> {
                    alive = false;
                    listener.close();
                    fills.clear();
                });
    }

    /**
     * Restarts a killed server on its former port, with an empty cache and cold. Has no effect if
     * the server is running or has failed under overload.
     *
     * @throws IOException if another process has taken the port
     */
    public void restart() throws IOException {
        boolean[] wasDown = new boolean[1];
        runAndWait(
                () -> {
                    wasDown[0] = !alive && !overloaded;
                    if (wasDown[0]) {
                        alive = true;
                    }
                });
        if (!wasDown[0]) {
            return;
        }
        runAndWait(
                () -> {
                    store.clear();
                    load.reset();
                    faults.clear();
                    overloadModel.restart(System.nanoTime(), true);
                    startedMs = System.currentTimeMillis();
                });
        startListening();
    }

    /**
     * Removes the copies of an object, or of a purge group if {@code object} is 0, that the origin
     * created before a time.
     *
     * @param purgedNs the time of the purge, by {@link System#nanoTime}
     */
    public void purge(long object, int group, long purgedNs) {
        loop.execute(
                () -> {
                    purges.add(object, group, purgedNs);
                    store.removeIf(purges::isPurged);
                });
    }

    // ---- Requests

    private void onRequest(HttpExchange exchange) {
        long nowNs = System.nanoTime();
        ServerRequest request = ServerRequest.decode(exchange.head());
        RecordedRequest recorded =
                new RecordedRequest(nowNs, model.name(), exchange.head().target(), request);
        recorded.cold = overloadModel.warmUpShare(nowNs) < 1;
        traffic.record(recorded);
        TrafficRecorder.Overload overload =
                overloadModel.add(nowNs, meanWorkNs.applyAsDouble(request.className()));
        recorded.warmUpLoad = overloadModel.utilization(nowNs);
        if (overload != null && !overloaded) {
            overloaded = true;
            alive = false;
            traffic.recordOverload(overload);
            listener.close();
            return;
        }
        if (faults.silent) {
            return;
        }
        if (random.nextDouble() < faults.errorShare) {
            sender.sendStatus(exchange, recorded, 500, new Fields(), 0, false);
        } else if (load.isFull()
                || random.nextDouble() < faults.rejectShare
                || !load.tryCountAgainstRateLimit(nowNs)) {
            sender.reject(exchange, recorded);
        } else {
            load.requestStarted();
            Runnable release = releaseOnce();
            exchange.onClientGone(release);
            ActiveRequest active = new ActiveRequest(exchange, request, recorded, nowNs, release);
            respondLater((long) (model.baseLatencyNs() * faults.slowdown), active);
        }
    }

    private Runnable releaseOnce() {
        boolean[] released = new boolean[1];
        return () -> {
            if (!released[0]) {
                released[0] = true;
                load.requestEnded();
            }
        };
    }

    private void respondLater(long delayNs, ActiveRequest active) {
        loop.schedule(
                delayNs,
                () -> {
                    if (!active.exchange().isEnded() && !faults.silent) {
                        respond(active);
                    }
                });
    }

    private void respond(ActiveRequest active) {
        ServerRequest request = active.request();
        boolean cache = model.role() == ServerModel.Role.CACHE;
        if (model.role() == ServerModel.Role.ORIGIN) {
            sender.sendCopy(active, createCopy(active), "");
            return;
        }
        if (request.passThrough()) {
            fills.fill(active);
            return;
        }
        CachedCopy copy = store.get(request.copyKey(), cache ? request.copyPriority() : 1);
        long maxAgeNs = request.maxAgeNs();
        if (copy != null && (maxAgeNs == 0 || copy.createdNs() >= active.arrivedNs() - maxAgeNs)) {
            load.countHit();
            active.recorded().cacheHit = true;
            sender.sendCopy(active, copy, model.name() + "; hit");
        } else if (cache ? request.source() == null : request.cachedOnly()) {
            active.release().run();
            Fields fields = new Fields().add("Cache-Status", model.name() + "; fwd=miss");
            sender.sendStatus(active.exchange(), active.recorded(), 504, fields, 0, true);
        } else {
            fills.fill(active);
        }
    }

    // Executes a request at the origin. Of the pass-through requests with the same idempotency key,
    // only the first is executed. Every response is a new copy with a new serial number.
    private CachedCopy createCopy(ActiveRequest active) {
        long nowNs = System.nanoTime();
        ServerRequest request = active.request();
        if (request.passThrough()) {
            String key = request.idempotencyKey();
            active.recorded().executed = key == null || executedKeys.put(key, nowNs) == null;
        }
        String path = active.exchange().head().target();
        byte[] content = new byte[sizes.of(path, request.className())];
        byte[] label = (path + "\n").getBytes(StandardCharsets.ISO_8859_1);
        System.arraycopy(label, 0, content, 0, Math.min(label.length, content.length));
        return new CachedCopy(
                request.copyKey(), traffic.registerCopy(nowNs), nowNs, request.group(), content);
    }
}
