package brooklock.proxy;

import brooklock.config.Settings;
import brooklock.http.HttpLimits;
import brooklock.membership.EndpointRegistry;
import brooklock.net.ClientLimits;
import brooklock.net.HttpListener;
import brooklock.net.IoThreads;
import brooklock.net.ServerLimits;
import brooklock.routing.RouterSettings;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import javax.net.ssl.SSLContext;

/**
 * An HTTP dispatcher. It creates its components, connects them, and closes them in order.
 *
 * <p>{@link #start} returns a running dispatcher. {@link #drain} waits for the open requests to
 * end, and {@link #close} stops the dispatcher at once. All public methods may be called by any
 * thread.
 */
public final class Dispatcher implements Closeable {
    // A request occupies entries for its arrival, its end and the events of its attempts. This
    // number covers them, so that the open requests alone cannot fill the queue.
    private static final int QUEUE_ENTRIES_PER_REQUEST = 4;
    private static final int MAX_CONTROL_CONNECTIONS = 64;
    private static final int LISTEN_BACKLOG = 1024;
    private static final int MAX_REQUESTS_PER_CONNECTION = 1_000_000;
    private static final long DRAIN_POLL_MS = 10;

    private final Settings settings;
    private final MonotonicClock clock = new MonotonicClock();
    private final BackgroundFileWriter fileWriter = new BackgroundFileWriter();
    private final RequestCapacity capacity;
    private final RoutingThread routingThread;
    private final IoThreads ioThreads;
    private final AccessFiles accessFiles;
    private final RequestAuthorizer authorizer;
    private final ProxyContext context;
    private final Optional<WarmingCoordinator> warming;
    private final RequestAdmission admission;
    private final HttpListener controlListener;
    private final HttpListener clientListener;
    private final StatePage statePage;

    private Dispatcher(Settings settings, Function<RouterSettings, RoutingStrategy> strategyFactory)
            throws IOException {
        this.settings = settings;
        Settings.ResourceLimits limits = settings.limits();
        capacity =
                new RequestCapacity(
                        limits.maxRequests(),
                        limits.maxRequestBodyBytes(),
                        limits.maxTotalBodyBytes());
        routingThread = newRoutingThread(strategyFactory);
        ioThreads = IoThreads.start(settings.name(), limits.ioThreads());
        try {
            accessFiles = new AccessFiles(settings.access());
            authorizer = new RequestAuthorizer(settings.access(), accessFiles, ioThreads.size());
            context = newContext();
            warming = settings.warming().enabled() ? Optional.of(newWarming()) : Optional.empty();
            EndpointListUpdater endpointListUpdater =
                    new EndpointListUpdater(
                            context,
                            new EndpointListStore(settings.files().endpointListFile(), fileWriter),
                            warming);
            ActionExecutor actionExecutor =
                    new ActionExecutor(ioThreads, endpointListUpdater, warming);
            DispatcherCounters counters = new DispatcherCounters();
            admission =
                    new RequestAdmission(
                            context, authorizer, capacity, counters, actionExecutor, warming);
            routingThread.start(actionExecutor);
            endpointListUpdater.applyInitialList();
            warming.ifPresent(WarmingCoordinator::start);
            controlListener = openControlListener(endpointListUpdater);
            clientListener = openClientListener();
            statePage =
                    new StatePage(context, clientListener, capacity, counters, authorizer, warming);
            accessFiles.startPolling(clientListener, settings.name(), authorizer::flushDenialLog);
        } catch (IOException e) {
            close();
            throw e;
        }
    }

    /**
     * Starts a dispatcher, which accepts requests once this method returns.
     *
     * @throws IOException if a listener cannot be bound, a file cannot be loaded, or the initial
     *     endpoint list is not in force in time
     */
    public static Dispatcher start(Settings settings) throws IOException {
        return start(settings, RoutingStrategy::newRouter);
    }

    /**
     * Starts a dispatcher with another routing strategy, either to compare strategies or to test
     * that a faulty one is detected.
     *
     * @param strategyFactory creates the strategy, which is used on the routing thread only
     * @throws IOException if a listener cannot be bound, a file cannot be loaded, or the initial
     *     endpoint list is not in force in time
     */
    public static Dispatcher start(
            Settings settings, Function<RouterSettings, RoutingStrategy> strategyFactory)
            throws IOException {
        return new Dispatcher(settings, strategyFactory);
    }

    // ---- Components

    private RoutingThread newRoutingThread(
            Function<RouterSettings, RoutingStrategy> strategyFactory) throws IOException {
        RouterSettings routerSettings = RouterSettingsMapper.toRouterSettings(settings);
        RoutingStrategy strategy = strategyFactory.apply(routerSettings);
        TraceWriter trace =
                TraceWriter.open(
                        settings.files().traceFile(),
                        settings.files().maxTraceBytes(),
                        routerSettings);
        return new RoutingThread(
                settings.name(),
                strategy,
                clock,
                trace,
                settings.limits().maxRequests() * QUEUE_ENTRIES_PER_REQUEST);
    }

    private ProxyContext newContext() {
        Settings.ResourceLimits limits = settings.limits();
        ClientLimits clientLimits =
                ClientLimits.STANDARD
                        .withConnectTimeoutNs(limits.connectTimeoutNs())
                        .withConnections(
                                limits.maxEndpointConnections(),
                                limits.maxWaitingCalls(),
                                Math.max(1, limits.maxEndpointConnections() / 4));
        return new ProxyContext(
                settings,
                clock,
                new EndpointRegistry(
                        settings.zones().stream().map(Settings.Zone::name).toList(),
                        clock::fromWallMs),
                routingThread,
                new UpstreamClients(
                        ioThreads, clientLimits, accessFiles.upstreamTlsContext().orElse(null)));
    }

    private WarmingCoordinator newWarming() {
        return new WarmingCoordinator(
                context,
                ioThreads.loop(0),
                new PrefetchSender(context, ioThreads),
                Optional.ofNullable(settings.warming().snapshotFile())
                        .map(path -> new WarmingSnapshotStore(path, fileWriter)));
    }

    private HttpListener openControlListener(EndpointListUpdater endpointListUpdater)
            throws IOException {
        ControlHandler handler =
                new ControlHandler(context, endpointListUpdater, warming, this::statePage);
        return HttpListener.open(
                ioThreads,
                settings.control(),
                ServerLimits.STANDARD.withMaxConnections(MAX_CONTROL_CONNECTIONS),
                handler::handle);
    }

    private HttpListener openClientListener() throws IOException {
        Settings.ResourceLimits limits = settings.limits();
        ServerLimits serverLimits =
                new ServerLimits(
                        HttpLimits.STANDARD.withMaxBodyBytes(limits.maxRequestBodyBytes()),
                        limits.maxClientConnections(),
                        LISTEN_BACKLOG,
                        limits.headTimeoutNs(),
                        limits.headTimeoutNs() + limits.idleTimeoutNs(),
                        limits.idleTimeoutNs(),
                        limits.stallTimeoutNs(),
                        MAX_REQUESTS_PER_CONNECTION,
                        true);
        Optional<SSLContext> tls = accessFiles.serverTlsContext();
        return tls.isPresent()
                ? HttpListener.openTls(
                        ioThreads, settings.listen(), serverLimits, admission::onRequest, tls.get())
                : HttpListener.open(
                        ioThreads, settings.listen(), serverLimits, admission::onRequest);
    }

    // ---- Public accessors and shutdown

    /** Returns the address of the client listener. */
    public InetSocketAddress address() {
        return clientListener.address();
    }

    /** Returns the address of the control listener. */
    public InetSocketAddress controlAddress() {
        return controlListener.address();
    }

    /** Returns the state page: counters and current load, with one line for each item. */
    public String statePage() {
        return statePage.render();
    }

    /** Returns the number of requests that lack a final response or have open attempts. */
    public int openRequests() {
        return capacity.openRequests();
    }

    /** Returns the context that all requests share. For tests. */
    ProxyContext context() {
        return context;
    }

    /** Returns the I/O threads. For tests. */
    IoThreads ioThreads() {
        return ioThreads;
    }

    /**
     * Stops listening, rejects new requests on open connections and waits until every open request
     * has its final response and no open attempts. Waits at most the longest deadline of any
     * request class plus one second.
     *
     * <p>A response counts as sent once it is handed to its connection. Bytes that the client's
     * socket has not accepted by then are not waited for, and {@link #close} drops them.
     *
     * @return whether all requests have ended; the exit status of the process is 0 in either case
     * @throws InterruptedException if the calling thread is interrupted while it waits
     */
    public boolean drain() throws InterruptedException {
        admission.rejectNewRequests();
        clientListener.drain();
        long maxDeadlineNs =
                settings.classes().stream()
                        .mapToLong(Settings.RequestClassSettings::deadlineNs)
                        .max()
                        .orElse(0);
        long drainDeadlineNs = System.nanoTime() + maxDeadlineNs + TimeUnit.SECONDS.toNanos(1);
        while (openRequests() > 0 && System.nanoTime() - drainDeadlineNs < 0) {
            Thread.sleep(DRAIN_POLL_MS);
        }
        return openRequests() == 0;
    }

    /**
     * Stops the dispatcher at once. All connections are closed; open requests and response bytes
     * that are not yet written are lost.
     */
    @Override
    public void close() {
        // After a failed start, the components that were not yet created are null.
        if (warming != null) {
            warming.ifPresent(WarmingCoordinator::close);
        }
        if (clientListener != null) {
            clientListener.close();
        }
        if (controlListener != null) {
            controlListener.close();
        }
        if (authorizer != null) {
            accessFiles.close();
            authorizer.close();
        }
        routingThread.stop();
        ioThreads.close();
        fileWriter.close();
    }
}
