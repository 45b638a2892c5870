package brooklock.testserver;

import brooklock.http.Fields;
import brooklock.http.Framing;
import brooklock.http.RequestHead;
import brooklock.http.ResponseHead;
import brooklock.net.CallFailure;
import brooklock.net.ClientLimits;
import brooklock.net.HttpClient;
import brooklock.net.HttpExchange;
import brooklock.net.HttpListener;
import brooklock.net.IoLoop;
import brooklock.net.IoThreads;
import brooklock.net.ResponseHandler;
import brooklock.net.ServerLimits;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.function.ToDoubleFunction;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * A cache, a parent or the origin on loopback. All of its state belongs to the one I/O thread of
 * its net.
 */
public final class TestServer {
    /** Sizes of what the origin gives. */
    public interface Sizes {
        /** Bytes of what a path of a class names. */
        int of(String path, String cls);
    }

    private final IoThreads ioThreads;
    private final IoLoop loop;
    private final ServerModel model;
    private final TrafficRecorder traffic;
    private final Sizes sizes;
    private final ToDoubleFunction<String> meanWorkNs;
    private final InetSocketAddress origin;
    private final HttpClient client;
    private final UniformRandomProvider random;
    private final OverloadModel overloadModel;
    private final Map<CachedCopy.Key, List<Fill>> fills = new HashMap<>();
    // Keys of the fills, for readers on other threads.
    private final Set<CachedCopy.Key> runningFills = ConcurrentHashMap.newKeySet();
    private final Map<String, Long> effects = new HashMap<>();
    private final Map<Long, Long> purgedObjects = new HashMap<>();
    private final Map<Integer, Long> purgedGroups = new HashMap<>();
    private volatile CopyStore store;
    private HttpListener listener;
    private InetSocketAddress address;
    private volatile long startedMs;
    private volatile boolean overloaded;
    private volatile boolean alive = true;
    private volatile int openRequests;
    private volatile int openTransfers;
    private long hits;
    private long requestCount;
    private volatile double recentRequests;
    private volatile long recentAtNs;

    /** What ails it. */
    public final InjectedFaults faults = new InjectedFaults();

    /**
     * A host that is warm from the first.
     *
     * @param origin where a parent fetches what it lacks; null for others
     * @throws IOException where no address can be had
     */
    public TestServer(
            IoThreads net,
            ServerModel model,
            TrafficRecorder ledger,
            Sizes sizes,
            ToDoubleFunction<String> meanWorkNs,
            InetSocketAddress origin,
            long seed)
            throws IOException {
        this(
                net,
                model,
                ledger,
                sizes,
                meanWorkNs,
                origin,
                seed,
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    }

    /** The same at an address of one's own choice. */
    public TestServer(
            IoThreads net,
            ServerModel model,
            TrafficRecorder ledger,
            Sizes sizes,
            ToDoubleFunction<String> meanWorkNs,
            InetSocketAddress origin,
            long seed,
            InetSocketAddress at)
            throws IOException {
        if (net.size() != 1) {
            throw new IllegalArgumentException(
                    "stand-ins share one I/O thread, so that nothing of them is locked");
        }
        this.ioThreads = net;
        this.model = model;
        this.traffic = ledger;
        this.sizes = sizes;
        this.meanWorkNs = meanWorkNs;
        this.origin = origin;
        loop = net.loop(0);
        client = new HttpClient(loop, ClientLimits.STANDARD);
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        overloadModel = new OverloadModel(model);
        store = new CopyStore(model.maxCopies());
        overloadModel.restart(System.nanoTime(), false);
        address = at;
        startListening();
    }

    private void startListening() throws IOException {
        listener =
                HttpListener.open(
                        ioThreads,
                        address,
                        ServerLimits.STANDARD,
                        x -> x.readBody(body -> onRequest(x)));
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

    /** What it is. */
    public ServerModel model() {
        return model;
    }

    /** Wall time of its last start, ms since 1970; 0 where it ran before all began. */
    public long startedMs() {
        return startedMs;
    }

    /** Whether it was pushed over. */
    public boolean isOverloaded() {
        return overloaded;
    }

    // ---- What it is really like, for a yardstick; read from other threads

    /** Whether it takes requests and answers them. */
    public boolean isUp() {
        return alive && !overloaded && !faults.silent;
    }

    /** Share of 1 of its nearer bound that is used up: places, calls a second. */
    public double usedShare() {
        double rateShare =
                model.maxRequestsPerS() <= 0
                        ? 0
                        : recentRequests
                                * Math.exp((recentAtNs - System.nanoTime()) / 1e9)
                                / model.maxRequestsPerS();
        return Math.max(openRequests / (double) model.maxRequests(), rateShare);
    }

    /** Share of 1 of what it bears while it is cold that has reached it; 0 where it is warm. */
    public double warmUpLoad() {
        return overloadModel.usedShare(System.nanoTime());
    }

    /** Whether a part is on its way to it now, so that a request would join. */
    public boolean isFilling(long object, int part) {
        return runningFills.contains(new CachedCopy.Key(object, part));
    }

    /** Pace that one transfer more would get, as a share of the full one. */
    public double nextTransferPace() {
        return Math.min(
                        1,
                        model.maxTransfers()
                                * overloadModel.warmUpShare(System.nanoTime())
                                / (openTransfers + 1))
                / faults.slowdown;
    }

    /** Age of the copy that it holds of a part, ns; -1 where it holds none. */
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

    /** Dies: its connections break, its port is closed. */
    public void kill() {
        runAndWait(
                () -> {
                    alive = false;
                    listener.close();
                    fills.clear();
                    runningFills.clear();
                });
    }

    /** Starts again on its old port, empty and cold; not if it runs, nor if it was pushed over. */
    public void restart() throws IOException {
        boolean[] wasDown = new boolean[1];
        runAndWait(
                () -> {
                    wasDown[0] = !alive && !overloaded;
                    alive |= wasDown[0];
                });
        if (!wasDown[0]) {
            return;
        }
        runAndWait(
                () -> {
                    store = new CopyStore(model.maxCopies());
                    openRequests = 0;
                    openTransfers = 0;
                    faults.clear();
                    overloadModel.restart(System.nanoTime(), true);
                    startedMs = System.currentTimeMillis();
                });
        startListening();
    }

    /** Drops what is older than a moment (at once; the one who spreads purges takes his time). */
    public void purge(long object, int group, long momentNs) {
        loop.execute(
                () -> {
                    if (object != 0) {
                        purgedObjects.merge(object, momentNs, Math::max);
                    } else {
                        purgedGroups.merge(group, momentNs, Math::max);
                    }
                    store.dropIf(this::isPurged);
                });
    }

    private boolean isPurged(CachedCopy copy) {
        return copy.bornNs() < purgedObjects.getOrDefault(copy.key().object(), Long.MIN_VALUE)
                || copy.bornNs() < purgedGroups.getOrDefault(copy.group(), Long.MIN_VALUE);
    }

    // ---- A request comes

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
            sendStatus(exchange, recorded, 500, new Fields(), 0, false);
        } else if (openRequests >= model.maxRequests()
                || random.nextDouble() < faults.rejectShare
                || isOverRate(nowNs)) {
            reject(exchange, recorded, "connection_limit_reached", null);
        } else {
            openRequests++;
            requestCount++;
            boolean[] released = new boolean[1];
            Runnable release =
                    () -> {
                        if (!released[0]) {
                            released[0] = true;
                            openRequests--;
                        }
                    };
            exchange.onClientGone(release);
            schedule(
                    (long) (model.baseLatencyNs() * faults.slowdown),
                    exchange,
                    () -> respond(exchange, request, recorded, nowNs, release));
        }
    }

    private boolean isOverRate(long now) {
        if (model.maxRequestsPerS() <= 0) {
            return false;
        }
        recentRequests *= Math.exp((recentAtNs - now) / 1e9);
        recentAtNs = now;
        if (recentRequests > model.maxRequestsPerS()) {
            return true;
        }
        recentRequests++;
        return false;
    }

    private void schedule(long delayNs, HttpExchange exchange, Runnable task) {
        loop.schedule(
                delayNs,
                () -> {
                    if (!exchange.isEnded() && !faults.silent) {
                        task.run();
                    }
                });
    }

    private void respond(
            HttpExchange exchange,
            ServerRequest request,
            RecordedRequest recorded,
            long arrivedNs,
            Runnable release) {
        if (model.role() == ServerModel.Role.ORIGIN) {
            sendCopy(
                    exchange,
                    request,
                    recorded,
                    createCopy(exchange.head().target(), request, recorded),
                    "",
                    release);
            return;
        }
        if (request.passThrough()) {
            fill(exchange, request, recorded, arrivedNs, release);
            return;
        }
        CachedCopy copy =
                store.use(
                        request.copyKey(),
                        model.role() == ServerModel.Role.CACHE ? request.copyPriority() : 1);
        if (copy != null
                && (request.maxAgeNs() == 0 || copy.bornNs() >= arrivedNs - request.maxAgeNs())) {
            hits++;
            recorded.cacheHit = true;
            sendCopy(exchange, request, recorded, copy, model.name() + "; hit", release);
        } else if (request.source() == null && model.role() == ServerModel.Role.CACHE
                || request.cachedOnly() && model.role() == ServerModel.Role.PARENT) {
            release.run();
            sendStatus(
                    exchange,
                    recorded,
                    504,
                    new Fields().add("Cache-Status", model.name() + "; fwd=miss"),
                    0,
                    true);
        } else {
            fill(exchange, request, recorded, arrivedNs, release);
        }
    }

    // At the origin: effects take place, keyed ones once; all else is made anew.
    private CachedCopy createCopy(String path, ServerRequest request, RecordedRequest recorded) {
        long nowNs = System.nanoTime();
        if (request.passThrough()) {
            recorded.executed =
                    request.idempotencyKey() == null
                            || effects.put(request.idempotencyKey(), nowNs) == null;
        }
        byte[] content = new byte[sizes.of(path, request.className())];
        byte[] label = (path + "\n").getBytes(StandardCharsets.ISO_8859_1);
        System.arraycopy(label, 0, content, 0, Math.min(label.length, content.length));
        return new CachedCopy(
                request.copyKey(), traffic.registerCopy(nowNs), nowNs, request.group(), content);
    }

    // ---- Fills

    private record Waiter(
            HttpExchange exchange,
            ServerRequest request,
            RecordedRequest recorded,
            long arrivedNs,
            Runnable release,
            boolean joined) {}

    private static final class Fill {
        final List<Waiter> waiters = new ArrayList<>();
        long sentNs;
        // How the neighbour that was asked first answered, and what it said of itself; null where
        // none was.
        String peerResult;
        String peerLoad;

        Fill(long sentNs) {
            this.sentNs = sentNs;
        }
    }

    private void fill(
            HttpExchange exchange,
            ServerRequest request,
            RecordedRequest recorded,
            long arrivedNs,
            Runnable release) {
        List<Fill> running = fills.computeIfAbsent(request.copyKey(), k -> new ArrayList<>());
        if (request.join() && !request.passThrough() && !running.isEmpty()) {
            running.get(running.size() - 1)
                    .waiters
                    .add(new Waiter(exchange, request, recorded, arrivedNs, release, true));
            return;
        }
        Fill newFill = new Fill(System.nanoTime());
        newFill.waiters.add(new Waiter(exchange, request, recorded, arrivedNs, release, false));
        running.add(newFill);
        runningFills.add(request.copyKey());
        if (request.peer() != null && !request.passThrough()) {
            newFill.peerResult = "asked";
            sendRequest(
                    request.peerAddress(),
                    exchange.head(),
                    request,
                    "keep=0",
                    arrivedNs,
                    new FillHandler(exchange.head(), request, newFill, arrivedNs));
        } else {
            askSource(exchange.head(), request, newFill, arrivedNs);
        }
    }

    private void askSource(RequestHead head, ServerRequest request, Fill fill, long arrivedNs) {
        fill.sentNs = System.nanoTime();
        boolean atParent = model.role() == ServerModel.Role.PARENT;
        sendRequest(
                atParent ? origin : request.sourceAddress(),
                head,
                request,
                "keep=1"
                        + (request.join() ? ", join" : "")
                        + (request.cachedOnly() && !atParent ? ", held-only" : ""),
                arrivedNs,
                new FillHandler(head, request, fill, arrivedNs));
    }

    private void sendRequest(
            InetSocketAddress to,
            RequestHead head,
            ServerRequest request,
            String getParameters,
            long arrivedNs,
            FillHandler handler) {
        Fields fields = head.fields().copy().remove("Content-Length").remove("Transfer-Encoding");
        fields.set("Via", fields.combinedValue("Via") + ", 1.1 " + model.name());
        // The same copies will do as when the request came: by now they may be that much older.
        fields.set(
                "Brooklock-Get",
                getParameters
                        + (request.maxAgeNs() == 0
                                ? ""
                                : ", oldest="
                                        + (request.maxAgeNs() + System.nanoTime() - arrivedNs)
                                                / 1000));
        client.send(
                to,
                new RequestHead(head.method(), head.target(), head.authority(), 1, fields),
                new byte[0],
                handler);
    }

    private final class FillHandler implements ResponseHandler {
        private final RequestHead originalHead;
        private final ServerRequest request;
        private final Fill fill;
        private final long arrivedNs;
        private final ByteArrayOutputStream content = new ByteArrayOutputStream();
        private ResponseHead head;

        FillHandler(RequestHead originalHead, ServerRequest request, Fill fill, long arrivedNs) {
            this.originalHead = originalHead;
            this.request = request;
            this.fill = fill;
            this.arrivedNs = arrivedNs;
        }

        // A neighbour that was asked first and does not give: the source is asked then.
        private boolean fallBackToSource(String peerResult) {
            if (!"asked".equals(fill.peerResult)) {
                return false;
            }
            fill.peerResult = peerResult;
            fill.peerLoad = head == null ? null : head.fields().get("Brooklock-Load");
            askSource(originalHead, request, fill, arrivedNs);
            return true;
        }

        @Override
        public void onHead(ResponseHead responseHead, Framing framing, boolean whole) {
            head = responseHead;
        }

        @Override
        public boolean onBody(ByteBuffer piece) {
            byte[] bytes = new byte[piece.remaining()];
            piece.get(bytes);
            content.writeBytes(bytes);
            return true;
        }

        @Override
        public void onComplete(Fields trailers) {
            boolean fromOrigin =
                    model.role() == ServerModel.Role.PARENT
                            || head.fields().get("Cache-Status") == null
                            || head.fields()
                                    .combinedValue("Cache-Status")
                                    .contains("detail=origin");
            long waitedNs = System.nanoTime() - fill.sentNs;
            if (head.status() == 200) {
                // Its age is that at the moment when the request came in there, so it is not
                // younger than this.
                long ageNs = Long.parseLong(head.fields().get("Brooklock-Age")) * 1000;
                long serial = Long.parseLong(head.fields().get("ETag").replace("\"", ""));
                fill.peerLoad =
                        request.prefetch() || "asked".equals(fill.peerResult)
                                ? head.fields().get("Brooklock-Load")
                                : fill.peerLoad;
                fill.peerResult =
                        fill.peerResult == null
                                ? null
                                : fill.peerResult.equals("asked") ? "gave" : fill.peerResult;
                onFilled(
                        new CachedCopy(
                                request.copyKey(),
                                serial,
                                fill.sentNs - ageNs,
                                request.group(),
                                content.toByteArray()),
                        fromOrigin);
            } else if (fallBackToSource(
                    head.status() == 504 && head.fields().get("Proxy-Status") == null
                            ? "lacked"
                            : "failed")) {
                return;
            } else if (head.status() == 504 && head.fields().get("Proxy-Status") == null) {
                failWaiters(
                        waiter ->
                                sendStatus(
                                        waiter.exchange(),
                                        waiter.recorded(),
                                        504,
                                        new Fields()
                                                .add(
                                                        "Cache-Status",
                                                        model.name()
                                                                + "; fwd=miss; detail=source-lacks"),
                                        waitedNs,
                                        true));
            } else {
                // A parent that speaks of its own source tells that the origin failed behind it.
                String status = head.fields().get("Proxy-Status");
                String error = status == null ? "" : status.substring(status.indexOf("error=") + 6);
                boolean provenNotExecuted =
                        List.of(
                                        "connection_limit_reached",
                                        "destination_unavailable",
                                        "connection_refused")
                                .contains(error);
                boolean originFailed =
                        model.role() == ServerModel.Role.CACHE
                                && status != null
                                && !error.equals("connection_limit_reached");
                failWaiters(
                        waiter ->
                                failed(
                                        waiter,
                                        provenNotExecuted
                                                ? "destination_unavailable"
                                                : "http_response_incomplete",
                                        originFailed ? "origin" : null,
                                        waitedNs));
            }
        }

        @Override
        public void onFailure(CallFailure failure, String why) {
            if (fallBackToSource("failed")) {
                return;
            }
            long waitedNs = System.nanoTime() - fill.sentNs;
            failWaiters(
                    waiter ->
                            failed(
                                    waiter,
                                    failure.provesNotExecuted
                                            ? "connection_refused"
                                            : "connection_terminated",
                                    null,
                                    waitedNs));
        }

        private void onFilled(CachedCopy copy, boolean fromOrigin) {
            boolean cacheable = !request.passThrough();
            List<Waiter> waiters = removeFill();
            if (cacheable && !isPurged(copy)) {
                int priority =
                        model.role() == ServerModel.Role.PARENT
                                ? 1
                                : waiters.stream()
                                        .mapToInt(waiter -> waiter.request().copyPriority())
                                        .max()
                                        .orElse(0);
                store.put(copy, priority);
            }
            for (Waiter waiter : waiters) {
                if (waiter.exchange().isEnded()) {
                    waiter.release().run();
                } else if (waiter.request().maxAgeNs() > 0
                        && copy.bornNs() < waiter.arrivedNs() - waiter.request().maxAgeNs()) {
                    // The fill that was joined began before a purge that this one knows of.
                    fill(
                            waiter.exchange(),
                            waiter.request(),
                            waiter.recorded(),
                            waiter.arrivedNs(),
                            waiter.release());
                } else {
                    boolean fromPeer = "gave".equals(fill.peerResult);
                    waiter.recorded().peerResult = fill.peerResult;
                    waiter.recorded().peerLoad = fill.peerLoad;
                    sendCopy(
                            waiter.exchange(),
                            waiter.request(),
                            waiter.recorded(),
                            copy,
                            model.name()
                                    + "; fwd=miss"
                                    + (waiter.joined() ? "; collapsed" : "")
                                    + (fromPeer
                                            ? "; detail=neighbour"
                                            : fromOrigin ? "; detail=origin" : ""),
                            waiter.release());
                }
            }
        }

        private List<Waiter> removeFill() {
            List<Fill> running = fills.get(request.copyKey());
            if (running != null) {
                running.remove(fill);
                if (running.isEmpty()) {
                    fills.remove(request.copyKey());
                    runningFills.remove(request.copyKey());
                }
            }
            return fill.waiters;
        }

        private void failWaiters(java.util.function.Consumer<Waiter> end) {
            for (Waiter waiter : removeFill()) {
                waiter.release().run();
                if (!waiter.exchange().isEnded()) {
                    end.accept(waiter);
                }
            }
        }

        private void failed(Waiter waiter, String error, String failedOrigin, long waitedNs) {
            boolean provenNotExecuted =
                    error.equals("destination_unavailable") || error.equals("connection_refused");
            waiter.recorded().provenNotExecuted = provenNotExecuted;
            sendStatus(
                    waiter.exchange(),
                    waiter.recorded(),
                    502,
                    new Fields()
                            .add(
                                    "Proxy-Status",
                                    (failedOrigin == null
                                                    ? ""
                                                    : failedOrigin + "; error=" + error + ", ")
                                            + model.name()
                                            + "; error="
                                            + error),
                    waitedNs,
                    provenNotExecuted);
        }
    }

    // ---- Answers

    private void reject(
            HttpExchange exchange, RecordedRequest recorded, String error, String details) {
        sendStatus(
                exchange,
                recorded,
                503,
                new Fields()
                        .add(
                                "Proxy-Status",
                                model.name()
                                        + "; error="
                                        + error
                                        + (details == null ? "" : "; details=\"" + details + "\"")),
                0,
                true);
    }

    private void sendStatus(
            HttpExchange exchange,
            RecordedRequest recorded,
            int status,
            Fields fields,
            long waitedNs,
            boolean provenNotExecuted) {
        recorded.provenNotExecuted = provenNotExecuted;
        if (waitedNs > 0) {
            fields.add("Brooklock-Waited", Long.toString(waitedNs / 1000));
        }
        exchange.send(status, withLoadReport(fields), new byte[0]);
    }

    private Fields withLoadReport(Fields fields) {
        return fields.add(
                "Brooklock-Load",
                "util="
                        + Math.round(100.0 * openTransfers / model.maxTransfers()) / 100.0
                        + ", inflight="
                        + openRequests
                        + ", x0="
                        + Math.round(100.0 * hits / Math.max(1, requestCount)) / 100.0);
    }

    private void sendCopy(
            HttpExchange exchange,
            ServerRequest request,
            RecordedRequest recorded,
            CachedCopy copy,
            String cacheStatus,
            Runnable release) {
        recorded.copySerial = copy.serial();
        recorded.bodyBytes = request.prefetch() ? 0 : copy.content().length;
        if (random.nextDouble() < faults.lostShare) {
            release.run();
            if (faults.lostByReset) {
                exchange.abort();
            }
            return;
        }
        int cutAt = random.nextDouble() < faults.truncatedShare ? copy.content().length / 2 : -1;
        Fields fields =
                withLoadReport(
                        new Fields()
                                .add("ETag", "\"" + copy.serial() + "\"")
                                .add("Content-Type", "application/octet-stream")
                                .add(
                                        "Brooklock-Age",
                                        Long.toString((recorded.atNs - copy.bornNs()) / 1000)));
        if (!cacheStatus.isEmpty()) {
            fields.add("Cache-Status", cacheStatus);
        }
        if (recorded.peerResult != null) {
            fields.add("Brooklock-First", recorded.peerResult);
        }
        if (recorded.peerLoad != null) {
            fields.add("Brooklock-First-Load", recorded.peerLoad);
        }
        if (request.prefetch()) {
            release.run();
            exchange.send(204, fields, new byte[0]);
            return;
        }
        openTransfers++;
        PacedTransfer transfer =
                new PacedTransfer(
                        exchange,
                        copy.content(),
                        cutAt,
                        this::transferRate,
                        () -> {
                            openTransfers--;
                            release.run();
                        });
        transfer.start(new ResponseHead(200, fields));
    }

    private double transferRate() {
        double effectiveTransfers =
                model.maxTransfers() * overloadModel.warmUpShare(System.nanoTime());
        return model.bytesPerSecond()
                / faults.slowdown
                * Math.min(1, effectiveTransfers / Math.max(1, openTransfers));
    }
}
