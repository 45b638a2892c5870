package brooklock.proxy;

import brooklock.authorization.Policy;
import brooklock.authorization.TenantLimiter;
import brooklock.config.Settings;
import brooklock.http.Fields;
import brooklock.http.Forwarding;
import brooklock.http.HttpLimits;
import brooklock.http.RequestHead;
import brooklock.membership.EndpointListFile;
import brooklock.membership.EndpointRegistry;
import brooklock.membership.ListedEndpoint;
import brooklock.membership.Membership;
import brooklock.membership.UpdateResult;
import brooklock.membership.WatchEvent;
import brooklock.net.ClientLimits;
import brooklock.net.HttpClient;
import brooklock.net.HttpExchange;
import brooklock.net.HttpListener;
import brooklock.net.IoLoop;
import brooklock.net.IoThreads;
import brooklock.net.ServerLimits;
import brooklock.routing.EndpointListKind;
import brooklock.routing.EndpointState;
import brooklock.routing.RouterAction;
import brooklock.routing.RouterAction.CancelAttempt;
import brooklock.routing.RouterAction.FailRequest;
import brooklock.routing.RouterAction.RejectRequest;
import brooklock.routing.RouterAction.StartAttempt;
import brooklock.routing.RouterAction.WatchEndpoints;
import brooklock.routing.RouterEvent.EndpointListReceived;
import brooklock.routing.RouterSettings;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.Function;
import javax.net.ssl.SSLContext;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A running dispatcher: listeners, the decision thread, and the requests at work between them. */
public final class Dispatcher implements Closeable {
    private static final Logger LOG = LoggerFactory.getLogger(Dispatcher.class);
    // Entries of the decision queue for each request that may be open: its coming, its end, and
    // attempts between.
    private static final int QUEUE_ENTRIES_PER_REQUEST = 4;

    final Settings settings;
    final MonotonicClock clock = new MonotonicClock();
    final EndpointRegistry endpointRegistry;
    final RoutingThread routingThread;
    final DispatcherCounters counters = new DispatcherCounters();
    private final IoThreads net;
    private final HttpClient[] clientsByLoop;
    private final RouteTable routeTable;
    // The decision thread's own: what it acts on, from before a request is decided until after its
    // end is.
    private final Map<Long, ProxyExchange> exchanges = new HashMap<>();
    private final List<Runnable>[] batchesByLoop;
    private final AtomicLong lastRequestId = new AtomicLong();
    private final AtomicInteger openRequests = new AtomicInteger();
    private final AtomicLong reservedBodyBytes = new AtomicLong();
    private final EndpointListStore endpointListStore;
    private final RequestAuthorizer authorizer;
    // The decision thread's own, as what it counts.
    private final TenantLimiter tenantLimiter = new TenantLimiter();
    private Policy limiterPolicy;
    // Null where caches may not fill from one another.
    private final WarmingCoordinator warmingCoordinator;
    private final HttpListener clientListener;
    private final HttpListener controlListener;
    private volatile boolean draining;
    private volatile boolean closed;

    @SuppressWarnings({"unchecked", "rawtypes"})
    private Dispatcher(Settings settings, Function<RouterSettings, RoutingStrategy> strategyFactory)
            throws IOException {
        this.settings = settings;
        Settings.ResourceLimits bounds = settings.limits();
        RouterSettings routerSettings = RouterSettingsMapper.toRouterSettings(settings);
        endpointRegistry =
                new EndpointRegistry(
                        settings.zones().stream().map(Settings.Zone::name).toList(),
                        clock::fromWallMs);
        routeTable = new RouteTable(settings);
        endpointListStore = new EndpointListStore(settings.files().endpointListFile());
        routingThread =
                new RoutingThread(
                        settings.name(),
                        strategyFactory.apply(routerSettings),
                        clock,
                        new ActionExecutor(),
                        TraceWriter.open(
                                settings.files().traceFile(),
                                settings.files().maxTraceBytes(),
                                routerSettings),
                        bounds.maxRequests() * QUEUE_ENTRIES_PER_REQUEST);
        net = IoThreads.start(settings.name(), bounds.ioThreads());
        batchesByLoop = new List[net.size()];
        clientsByLoop = new HttpClient[net.size()];
        ClientLimits clientLimits =
                ClientLimits.STANDARD
                        .withConnectTimeoutNs(bounds.connectTimeoutNs())
                        .withConnections(
                                bounds.maxEndpointConnections(),
                                bounds.maxWaitingCalls(),
                                Math.max(1, bounds.maxEndpointConnections() / 4));
        try {
            authorizer = new RequestAuthorizer(settings.access(), net.size());
            SSLContext upstreamTls = authorizer.upstreamTlsContext();
            for (int i = 0; i < net.size(); i++) {
                clientsByLoop[i] = new HttpClient(net.loop(i), clientLimits, upstreamTls);
                batchesByLoop[i] = new ArrayList<>();
            }
            warmingCoordinator = settings.warming().enabled() ? new WarmingCoordinator(this) : null;
            routingThread.start();
            applyInitialEndpointList();
            if (warmingCoordinator != null) {
                warmingCoordinator.start();
            }
            controlListener =
                    HttpListener.open(
                            net,
                            settings.control(),
                            ServerLimits.STANDARD.withMaxConnections(64),
                            new ControlHandler(this)::handle);
            ServerLimits serverLimits =
                    new ServerLimits(
                            HttpLimits.STANDARD.withMaxBodyBytes(bounds.maxRequestBodyBytes()),
                            bounds.maxClientConnections(),
                            1024,
                            bounds.headTimeoutNs(),
                            bounds.headTimeoutNs() + bounds.idleTimeoutNs(),
                            bounds.idleTimeoutNs(),
                            bounds.stallTimeoutNs(),
                            1_000_000,
                            true);
            clientListener =
                    authorizer.serverTlsContext() == null
                            ? HttpListener.open(
                                    net, settings.listen(), serverLimits, this::onRequest)
                            : HttpListener.openTls(
                                    net,
                                    settings.listen(),
                                    serverLimits,
                                    this::onRequest,
                                    authorizer.serverTlsContext());
            authorizer.startFilePolling(clientListener, settings.name());
        } catch (IOException e) {
            close();
            throw e;
        }
    }

    /**
     * Starts a dispatcher.
     *
     * @throws IOException where an address cannot be listened on or a file not be used
     */
    public static Dispatcher start(Settings settings) throws IOException {
        return start(settings, RoutingStrategy::newRouter);
    }

    /**
     * Starts a dispatcher with another decider, to compare it or to see that its faults are found.
     */
    public static Dispatcher start(
            Settings settings, Function<RouterSettings, RoutingStrategy> strategyFactory)
            throws IOException {
        return new Dispatcher(settings, strategyFactory);
    }

    // The list as it was saved last, else that of the settings.
    private void applyInitialEndpointList() throws IOException {
        Membership.State saved = null;
        if (settings.files().endpointListFile() != null) {
            try {
                saved = new EndpointListFile(settings.files().endpointListFile()).load();
            } catch (IOException e) {
                LOG.error(
                        "the saved list cannot be used, the settings' hosts are taken instead", e);
            }
        }
        List<ListedEndpoint> configured =
                settings.endpoints().stream()
                        .map(
                                h ->
                                        new ListedEndpoint(
                                                h.name(),
                                                h.id(),
                                                h.kind(),
                                                settings.zones().get(h.zoneIndex()).name(),
                                                h.address(),
                                                EndpointState.READY,
                                                h.weight(),
                                                0))
                        .toList();
        Membership.State savedState = saved;
        // Nobody is let in before it is in force: who came earlier would find no hosts.
        CountDownLatch applied = new CountDownLatch(1);
        updateEndpoints(
                "first list",
                m ->
                        savedState == null
                                ? m.applySettings(System.currentTimeMillis(), configured)
                                : m.restore(savedState),
                EndpointListKind.CACHED,
                a -> applied.countDown());
        try {
            if (!applied.await(10, TimeUnit.SECONDS)) {
                throw new IOException("the first list is not in force after ten seconds");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Takes a list, on the decision thread; {@code then} is told what came of it once it has been
     * saved.
     */
    void applyWatchEvent(WatchEvent event, Consumer<UpdateResult> onResult) {
        updateEndpoints(
                event.version() == null ? "unnumbered list" : event.version().toString(),
                m -> m.apply(System.currentTimeMillis(), event),
                event.full() ? EndpointListKind.FULL : EndpointListKind.DELTA,
                onResult);
    }

    /**
     * Changes the list in force. The change is made on the decision thread, by what is in force
     * there and then; what is told to whoever sent it holds through a kill, since it is told after
     * it was saved.
     */
    void updateEndpoints(
            String description,
            EndpointRegistry.Change change,
            EndpointListKind kind,
            Consumer<UpdateResult> onResult) {
        UpdateResult[] result = new UpdateResult[1];
        routingThread.submitSupplied(
                () -> {
                    try {
                        result[0] = endpointRegistry.apply(change);
                    } catch (RuntimeException failure) {
                        // A fault in one notice must not stop all others, nor any decision.
                        LOG.error("notice failed: {}", description, failure);
                        result[0] = UpdateResult.internalError(failure);
                    }
                    LOG.atInfo()
                            .addKeyValue("notice", description)
                            .addKeyValue("result", result[0].status())
                            .addKeyValue(
                                    "news",
                                    result[0].complete()
                                            ? result[0].affected().size() + " hosts"
                                            : result[0].affected().stream()
                                                    .map(m -> m.name() + " " + m.state())
                                                    .toList())
                            .log("list");
                    closeIdleConnections(result[0].affected());
                    return withWarmingWeights(endpointRegistry.toEndpointList(result[0], kind));
                },
                () ->
                        endpointListStore.save(
                                endpointRegistry.state(),
                                problem -> {
                                    if (onResult != null) {
                                        onResult.accept(
                                                problem == null || !result[0].applied()
                                                        ? result[0]
                                                        : result[0].withSaveError(problem));
                                    }
                                }));
    }

    // What the module hears of a list.
    private EndpointListReceived withWarmingWeights(EndpointListReceived endpoints) {
        return warmingCoordinator == null
                ? endpoints
                : warmingCoordinator.onEndpointList(endpoints);
    }

    private void closeIdleConnections(Collection<ListedEndpoint> changed) {
        for (ListedEndpoint member : changed) {
            if (member.state() != EndpointState.READY) {
                for (int i = 0; i < clientsByLoop.length; i++) {
                    HttpClient client = clientsByLoop[i];
                    net.loop(i).execute(() -> client.closeIdle(member.address()));
                }
            }
        }
    }

    IoLoop loop(int number) {
        return net.loop(number);
    }

    int loopCount() {
        return net.size();
    }

    boolean isClosed() {
        return closed;
    }

    /** Work with files, beside the traffic. */
    void runInBackground(Runnable task) {
        endpointListStore.runInBackground(task);
    }

    WarmingCoordinator warmingCoordinator() {
        return warmingCoordinator;
    }

    HttpClient clientFor(IoLoop loop) {
        return clientsByLoop[loop.number()];
    }

    // ---- A request comes

    private void onRequest(HttpExchange client) {
        long nowNs = clock.nowNs();
        RequestHead head = client.head();
        if (draining) {
            reject(client, 503, "this dispatcher is ending", null);
        } else if (Forwarding.hasPassedThrough(head.fields(), settings.name())) {
            reject(client, 508, "the request has been here before", null);
        } else if (head.fields().get("Expect") != null && !head.expectsContinue()) {
            reject(client, 417, "only 100-continue can be expected", null);
        } else {
            try {
                RouteTable.Match match =
                        routeTable.match(
                                head.method(),
                                head.authority(),
                                head.target(),
                                head.fields().get("Idempotency-Key") != null);
                if (match.needsAuthorization()) {
                    authorizer.authorize(
                            client,
                            match,
                            result -> onAuthorizationResult(client, nowNs, match, result));
                } else {
                    accept(client, nowNs, match, null);
                }
            } catch (RouteTable.NoRouteException e) {
                reject(client, e.status, e.getMessage(), e.allow);
            }
        }
    }

    private void onAuthorizationResult(
            HttpExchange client,
            long nowNs,
            RouteTable.Match match,
            RequestAuthorizer.AuthorizationResult result) {
        if (client.isEnded()) {
            // It left while its token was looked at.
            return;
        }
        if (result.isAllowed()) {
            accept(client, nowNs, match, result);
        } else if (result.status() == 503) {
            counters.overloaded.increment();
            reject(client, 503, result.reason(), null);
        } else {
            rejectUnauthorized(client, result);
        }
    }

    // Why is for the audit log: a caller without rights learns no more than that.
    private void rejectUnauthorized(
            HttpExchange client, RequestAuthorizer.AuthorizationResult result) {
        counters.rejected.increment();
        Fields fields =
                new Fields()
                        .add("Content-Type", "text/plain; charset=utf-8")
                        .add("Cache-Control", "no-store");
        if (result.status() == 401) {
            fields.add("WWW-Authenticate", "Bearer");
        }
        client.send(
                result.status(),
                fields,
                (result.status() == 400 ? result.reason() + "\n" : "not for you\n")
                        .getBytes(StandardCharsets.UTF_8));
    }

    private void accept(
            HttpExchange client,
            long nowNs,
            RouteTable.Match match,
            RequestAuthorizer.AuthorizationResult authorization) {
        if (openRequests.incrementAndGet() > settings.limits().maxRequests()) {
            openRequests.decrementAndGet();
            counters.overloaded.increment();
            reject(client, 503, "too many requests at work", null);
            return;
        }
        long deadlineNs =
                nowNs + timeoutNs(client.head().fields(), match.requestClass().deadlineNs());
        if (!client.hasBody()) {
            enqueue(client, nowNs, deadlineNs, match, authorization, new byte[0]);
            return;
        }
        long maxBodyBytes = settings.limits().maxRequestBodyBytes();
        if (reservedBodyBytes.addAndGet(maxBodyBytes) > settings.limits().maxTotalBodyBytes()) {
            reservedBodyBytes.addAndGet(-maxBodyBytes);
            openRequests.decrementAndGet();
            counters.overloaded.increment();
            reject(client, 503, "too many request bodies at work", null);
            return;
        }
        boolean[] bodyComplete = new boolean[1];
        client.onClientGone(
                () -> {
                    if (!bodyComplete[0]) {
                        reservedBodyBytes.addAndGet(-maxBodyBytes);
                        openRequests.decrementAndGet();
                    }
                });
        client.readBody(
                body -> {
                    bodyComplete[0] = true;
                    reservedBodyBytes.addAndGet(body.length - maxBodyBytes);
                    enqueue(client, nowNs, deadlineNs, match, authorization, body);
                });
    }

    // A client may state that it waits for less than its class says, in ms; never for more.
    private static long timeoutNs(Fields fields, long maxNs) {
        String patienceMs = fields.get("Brooklock-Patience");
        return patienceMs != null && patienceMs.matches("\\d{1,9}")
                ? Math.min(maxNs, Math.max(1, Long.parseLong(patienceMs)) * 1_000_000L)
                : maxNs;
    }

    private void enqueue(
            HttpExchange client,
            long nowNs,
            long deadlineNs,
            RouteTable.Match match,
            RequestAuthorizer.AuthorizationResult authorization,
            byte[] body) {
        ProxyExchange exchange =
                new ProxyExchange(
                        this,
                        lastRequestId.incrementAndGet(),
                        client,
                        match,
                        authorization,
                        body,
                        nowNs,
                        deadlineNs);
        client.onClientGone(exchange::onClientGone);
        if (!routingThread.offerRequest(exchange.toRequestEvent(), () -> admit(exchange))) {
            reservedBodyBytes.addAndGet(-body.length);
            openRequests.decrementAndGet();
            client.onClientGone(null);
            reject(client, 503, "decisions are full", null);
        } else {
            counters.accepted.increment();
        }
    }

    // On the decision thread: within its tenant's limits a request becomes an event, else it is
    // told so.
    private boolean admit(ProxyExchange exchange) {
        if (exchange.authorization != null) {
            Policy policy = authorizer.policy();
            if (policy != limiterPolicy) {
                limiterPolicy = policy;
                tenantLimiter.setTenants(policy.tenants());
            }
            String tenant = exchange.authorization.tenant().name();
            TenantLimiter.Admission verdict =
                    tenantLimiter.isKnown(tenant)
                            ? tenantLimiter.tryAcquire(tenant, clock.nowNs())
                            : new TenantLimiter.Admission(TenantLimiter.Reason.RATE, 0);
            if (!verdict.admitted()) {
                exchange.client.loop().execute(() -> exchange.rejectByTenantLimit(verdict));
                return false;
            }
            exchange.admitted = true;
        }
        exchanges.put(exchange.id, exchange);
        if (warmingCoordinator != null) {
            warmingCoordinator.onRequest(exchange);
        }
        return true;
    }

    private void reject(HttpExchange client, int status, String reason, String allow) {
        counters.rejected.increment();
        Fields fields =
                new Fields()
                        .add("Content-Type", "text/plain; charset=utf-8")
                        .add("Cache-Control", "no-store");
        if (status == 503) {
            fields.add("Retry-After", "1")
                    .add("Proxy-Status", settings.name() + "; error=connection_limit_reached");
        }
        if (allow != null) {
            fields.add("Allow", allow);
        }
        client.send(status, fields, (reason + "\n").getBytes(StandardCharsets.UTF_8));
    }

    /** A request has its final answer and none of its attempts is out. */
    void onExchangeEnded(ProxyExchange exchange) {
        counters.countCompletion(exchange.completion());
        AccessLog.writeEntry(exchange, clock.nowNs());
        reservedBodyBytes.addAndGet(-exchange.body.length);
        openRequests.decrementAndGet();
        // The module may have asked for more before it hears of the end; it is forgotten after
        // that.
        routingThread.submit(
                null,
                () -> {
                    exchanges.remove(exchange.id);
                    if (exchange.admitted) {
                        tenantLimiter.release(
                                exchange.authorization.tenant().name(),
                                exchange.responseBytes,
                                exchange.completion().equals("refused"));
                    }
                });
    }

    // ---- What the module says

    private final class ActionExecutor implements RoutingThread.ActionHandler {
        @Override
        public void onAction(RouterAction a) {
            if (a instanceof StartAttempt g) {
                ProxyExchange asked = warmingCoordinator == null ? null : exchanges.get(g.id());
                long first = asked == null ? 0 : warmingCoordinator.peerFor(g, asked);
                runOnExchange(g.id(), x -> x.startAttempt(g, first));
            } else if (a instanceof RejectRequest r) {
                runOnExchange(r.id(), x -> x.reject(r));
            } else if (a instanceof FailRequest f) {
                runOnExchange(f.id(), ProxyExchange::fail);
            } else if (a instanceof CancelAttempt c) {
                runOnExchange(c.id(), x -> x.cancelAttempt(c.attempt()));
            } else if (a instanceof WatchEndpoints) {
                routingThread.submitSupplied(
                        () ->
                                withWarmingWeights(
                                        endpointRegistry.fullEndpointList(EndpointListKind.FULL)),
                        () -> {});
            }
        }

        @Override
        public void onRoutingFailure(long request) {
            runOnExchange(request, ProxyExchange::fail);
        }

        private void runOnExchange(
                long requestId, java.util.function.Consumer<ProxyExchange> task) {
            ProxyExchange exchange = exchanges.get(requestId);
            if (exchange != null) {
                batchesByLoop[exchange.client.loop().number()].add(() -> task.accept(exchange));
            }
        }

        @Override
        public void onBatchEnd() {
            for (int i = 0; i < batchesByLoop.length; i++) {
                List<Runnable> batch = batchesByLoop[i];
                if (!batch.isEmpty()) {
                    batchesByLoop[i] = new ArrayList<>();
                    net.loop(i).execute(() -> batch.forEach(Runnable::run));
                }
            }
        }
    }

    // ---- From outside

    /** Where clients come in. */
    public InetSocketAddress address() {
        return clientListener.address();
    }

    /** Where control comes in. */
    public InetSocketAddress controlAddress() {
        return controlListener.address();
    }

    /** What it has counted and how full it is, as lines of words and numbers. */
    public String statePage() {
        StringBuilder page = new StringBuilder();
        page.append("name ")
                .append(settings.name())
                .append('\n')
                .append("open ")
                .append(openRequests.get())
                .append('\n')
                .append("clients ")
                .append(clientListener.openConnections())
                .append('\n')
                .append("clients-turned-away ")
                .append(clientListener.rejectedConnections())
                .append('\n')
                .append("body-bytes ")
                .append(reservedBodyBytes.get())
                .append('\n')
                .append("decided ")
                .append(routingThread.processedEntries())
                .append('\n')
                .append("decision-busy-us ")
                .append(routingThread.busyNs() / 1000)
                .append('\n')
                .append("decision-waiting ")
                .append(routingThread.queueLength())
                .append('\n')
                .append("decision-longest ")
                .append(routingThread.maxQueueLength())
                .append('\n')
                .append("decision-overflows ")
                .append(routingThread.rejectedRequests())
                .append('\n');
        counters.appendState(page);
        authorizer.appendState(page);
        if (warmingCoordinator != null) {
            warmingCoordinator.appendState(page);
        }
        endpointRegistry
                .state()
                .sources()
                .values()
                .forEach(
                        v ->
                                page.append(v)
                                        .append(" heard-ms-ago ")
                                        .append(
                                                Math.max(
                                                        0,
                                                        System.currentTimeMillis()
                                                                - v.lastHeardMs()))
                                        .append('\n'));
        endpointRegistry
                .state()
                .overrides()
                .forEach(
                        (id, word) ->
                                page.append("by-hand ")
                                        .append(endpointRegistry.find(id).name())
                                        .append(' ')
                                        .append(word)
                                        .append('\n'));
        for (ListedEndpoint member : endpointRegistry.endpoints().values()) {
            page.append("host ")
                    .append(member.name())
                    .append(' ')
                    .append(member.state())
                    .append(' ')
                    .append(member.startedMs())
                    .append('\n');
        }
        return page.toString();
    }

    /** Requests that have no final answer yet or attempts out. */
    public int openRequests() {
        return openRequests.get();
    }

    /**
     * Stops listening and finishes what was taken, each within its deadline.
     *
     * @return whether all was finished in time
     */
    public boolean drain() throws InterruptedException {
        draining = true;
        clientListener.drain();
        long longest =
                settings.classes().stream()
                        .mapToLong(Settings.RequestClassSettings::deadlineNs)
                        .max()
                        .orElse(0);
        long end = System.nanoTime() + longest + TimeUnit.SECONDS.toNanos(1);
        while (openRequests.get() > 0 && System.nanoTime() - end < 0) {
            Thread.sleep(10);
        }
        return openRequests.get() == 0;
    }

    /** Ends at once; what is open is broken off. */
    @Override
    public void close() {
        closed = true;
        if (clientListener != null) {
            clientListener.close();
        }
        if (controlListener != null) {
            controlListener.close();
        }
        if (authorizer != null) {
            authorizer.close();
        }
        routingThread.stop();
        net.close();
        endpointListStore.close();
    }
}
