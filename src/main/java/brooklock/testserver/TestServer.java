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
 * A cache, a parent or the origin on loopback. All of its state belongs to the one I/O thread of
 * its {@link IoThreads}; its public methods may be called from any thread.
 */
public final class TestServer {
    /** Sizes of what the origin gives. */
    public interface ObjectSizes {
        /** Bytes of the object that a path of a class names. */
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

    /** When each idempotency key took effect; the origin's. */
    private final Map<String, Long> effects = new HashMap<>();

    private HttpListener listener;
    private InetSocketAddress address;
    private volatile long startedMs;
    private volatile boolean overloaded;
    private volatile boolean alive = true;

    /** Its faults, which may be set at any time. */
    public final InjectedFaults faults = new InjectedFaults();

    /**
     * Starts a server, warm, on a free port.
     *
     * @param meanWorkNs time of one transfer of a mean object, by class name
     * @param origin what a parent fills from; null for others
     * @throws IOException where no port is free
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
     * Starts a server, warm, at an address.
     *
     * @param meanWorkNs time of one transfer of a mean object, by class name
     * @param origin what a parent fills from; null for others
     * @throws IOException where the address is in use
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
                    "a test server has one I/O thread, so that nothing of it is locked");
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

    /** Its address, the same after a restart. */
    public InetSocketAddress address() {
        return address;
    }

    /** Its name. */
    public String name() {
        return model.name();
    }

    /** What it can do. */
    public ServerModel model() {
        return model;
    }

    /** Wall clock time of its last restart, ms since 1970; 0 if it has never been restarted. */
    public long startedMs() {
        return startedMs;
    }

    /** Whether it has failed because it was overloaded. */
    public boolean isOverloaded() {
        return overloaded;
    }

    // ---- Its true state, which no dispatcher can see

    /** Whether it accepts requests and responds to them. */
    public boolean isUp() {
        return alive && !overloaded && !faults.silent;
    }

    /**
     * Use of the nearer one of its limits (requests at once, requests a second) as a share of it.
     */
    public double utilization() {
        return load.usedShare(System.nanoTime());
    }

    /** Load as a share of what it can bear while it warms up; 0 where it is warm. */
    public double warmUpLoad() {
        return overloadModel.usedShare(System.nanoTime());
    }

    /** Whether a fill for a part is in flight, so that a request would join it. */
    public boolean isFilling(long object, int part) {
        return fills.isFilling(new CachedCopy.Key(object, part));
    }

    /** Rate that one more transfer would get, as a share of the full rate. */
    public double nextTransferRateShare() {
        double carried = model.maxTransfers() * overloadModel.warmUpShare(System.nanoTime());
        return Math.min(1, carried / (load.openTransfers() + 1)) / faults.slowdown;
    }

    /** Age of its copy of a part, ns; -1 where it has none. */
    public long copyAgeNs(long object, int part) {
        CachedCopy copy = store.peek(new CachedCopy.Key(object, part));
        return copy == null ? -1 : System.nanoTime() - copy.bornNs();
    }

    // ---- What is done to it

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

    /** Kills it: its connections break, its port is closed. */
    public void kill() {
        runAndWait(
                () -> {
                    alive = false;
                    listener.close();
                    fills.clear();
                });
    }

    /**
     * Restarts it on its port, empty and cold; nothing happens if it is running or has failed
     * because it was overloaded.
     *
     * @throws IOException where its port has been taken meanwhile
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
     * Drops the copies of an object, or of a group where {@code object} is 0, from before a time.
     */
    public void purge(long object, int group, long momentNs) {
        loop.execute(
                () -> {
                    purges.add(object, group, momentNs);
                    store.removeIf(purges::isPurged);
                });
    }

    // ---- Requests

    private void onRequest(HttpExchange exchange) {
        long nowNs = System.nanoTime();
        ServerRequest request = ServerRequest.of(exchange.head());
        RecordedRequest recorded =
                new RecordedRequest(nowNs, model.name(), exchange.head().target(), request);
        recorded.cold = overloadModel.warmUpShare(nowNs) < 1;
        traffic.record(recorded);
        TrafficRecorder.Overload overload =
                overloadModel.add(nowNs, meanWorkNs.applyAsDouble(request.className()));
        recorded.warmUpLoad = overloadModel.usedShare(nowNs);
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
                || !load.tryCountRequest(nowNs)) {
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
        CachedCopy copy = store.use(request.copyKey(), cache ? request.copyPriority() : 1);
        long maxAgeNs = request.maxAgeNs();
        if (copy != null && (maxAgeNs == 0 || copy.bornNs() >= active.arrivedNs() - maxAgeNs)) {
            load.hit();
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

    // At the origin: effects take place, those with an idempotency key once; each copy is new.
    private CachedCopy createCopy(ActiveRequest active) {
        long nowNs = System.nanoTime();
        ServerRequest request = active.request();
        if (request.passThrough()) {
            String key = request.idempotencyKey();
            active.recorded().executed = key == null || effects.put(key, nowNs) == null;
        }
        String path = active.exchange().head().target();
        byte[] content = new byte[sizes.of(path, request.className())];
        byte[] label = (path + "\n").getBytes(StandardCharsets.ISO_8859_1);
        System.arraycopy(label, 0, content, 0, Math.min(label.length, content.length));
        return new CachedCopy(
                request.copyKey(), traffic.registerCopy(nowNs), nowNs, request.group(), content);
    }
}
