package brooklock.proxy;

import brooklock.config.Settings;
import brooklock.membership.EndpointRegistry;
import brooklock.membership.ListedEndpoint;
import brooklock.membership.Membership;
import brooklock.membership.UpdateResult;
import brooklock.membership.WatchEvent;
import brooklock.routing.EndpointListKind;
import brooklock.routing.EndpointState;
import brooklock.routing.RouterEvent;
import brooklock.routing.RouterEvent.EndpointListReceived;
import java.io.IOException;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Changes the endpoint list in force. Any thread may call it unless a method states otherwise.
 *
 * <p>Each change is applied on the routing thread, which owns the list, to the list that is in
 * force at that moment. It is acknowledged after it is saved, so that an acknowledged change is not
 * lost when the process is killed.
 */
final class EndpointListUpdater {
    private static final Logger LOG = LoggerFactory.getLogger(EndpointListUpdater.class);
    private static final long INITIAL_LIST_TIMEOUT_S = 10;

    private final ProxyContext context;
    private final EndpointListStore store;
    private final Optional<WarmingCoordinator> warming;

    EndpointListUpdater(
            ProxyContext context, EndpointListStore store, Optional<WarmingCoordinator> warming) {
        this.context = context;
        this.store = store;
        this.warming = warming;
    }

    /**
     * Applies the list that was saved last, or else the endpoints of the settings, and waits until
     * it is in force. A request that was accepted before would find no endpoint.
     *
     * @throws InitialListTimeoutException if the list is not in force within 10 seconds
     */
    void applyInitialList() throws InitialListTimeoutException {
        Optional<Membership.State> saved = loadSaved();
        List<ListedEndpoint> configured =
                context.settings().endpoints().stream().map(this::toListedEndpoint).toList();
        CountDownLatch applied = new CountDownLatch(1);
        update(
                "first list",
                membership ->
                        saved.isPresent()
                                ? membership.restore(saved.get())
                                : membership.applySettings(System.currentTimeMillis(), configured),
                EndpointListKind.CACHED,
                result -> applied.countDown());
        try {
            if (!applied.await(INITIAL_LIST_TIMEOUT_S, TimeUnit.SECONDS)) {
                throw new InitialListTimeoutException(INITIAL_LIST_TIMEOUT_S);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private Optional<Membership.State> loadSaved() {
        try {
            return store.load();
        } catch (IOException e) {
            LOG.error("saved endpoint list not loaded; using the endpoints of the settings", e);
            return Optional.empty();
        }
    }

    private ListedEndpoint toListedEndpoint(Settings.EndpointSettings endpoint) {
        return new ListedEndpoint(
                endpoint.name(),
                endpoint.id(),
                endpoint.kind(),
                context.settings().zones().get(endpoint.zoneIndex()).name(),
                endpoint.address(),
                EndpointState.READY,
                endpoint.weight(),
                0);
    }

    /**
     * Applies a watch event. The log names it by its version, or as {@code unnumbered list} if it
     * has none.
     *
     * @param onResult receives the result after the list is saved: on the writing thread, or on the
     *     routing thread if there is nothing to save
     */
    void apply(WatchEvent event, Consumer<UpdateResult> onResult) {
        update(
                event.version() == null ? "unnumbered list" : event.version().toString(),
                membership -> membership.apply(System.currentTimeMillis(), event),
                event.full() ? EndpointListKind.FULL : EndpointListKind.DELTA,
                onResult);
    }

    /**
     * Applies a change.
     *
     * @param description the name of the change in the log
     * @param change the change, which runs on the routing thread
     * @param kind the kind of the list that the router receives
     * @param onResult receives the result, on the threads stated at {@link #apply(WatchEvent,
     *     Consumer)}
     */
    void update(
            String description,
            EndpointRegistry.Change change,
            EndpointListKind kind,
            Consumer<UpdateResult> onResult) {
        UpdateResult[] result = new UpdateResult[1];
        context.routingThread()
                .submitComputed(
                        () -> {
                            result[0] = apply(description, change);
                            closeIdleConnections(result[0].affected());
                            return notifyWarmingAndAdaptWeights(
                                    context.endpointRegistry().toListEvent(result[0], kind));
                        },
                        () ->
                                store.save(
                                        context.endpointRegistry().state(),
                                        failure ->
                                                onResult.accept(
                                                        withSaveFailure(result[0], failure))));
    }

    /**
     * Submits the whole list in force to the router. On the routing thread, it must not be called
     * while the queue is full: the thread would wait forever for a free entry that only it can
     * create.
     */
    void submitFullList() {
        context.routingThread()
                .submitComputed(
                        () ->
                                notifyWarmingAndAdaptWeights(
                                        Optional.of(
                                                context.endpointRegistry()
                                                        .fullListEvent(EndpointListKind.FULL))),
                        () -> {});
    }

    // ---- On the routing thread

    private UpdateResult apply(String description, EndpointRegistry.Change change) {
        UpdateResult result;
        try {
            result = context.endpointRegistry().apply(change);
        } catch (RuntimeException failure) {
            // A change that cannot be applied must stop neither later changes nor routing.
            LOG.error("endpoint list update failed: {}", description, failure);
            result = UpdateResult.internalError(failure);
        }
        LOG.atInfo()
                .addKeyValue("notice", description)
                .addKeyValue("result", result.status())
                .addKeyValue(
                        "news",
                        result.coversWholeList()
                                ? result.affected().size() + " hosts"
                                : result.affected().stream()
                                        .map(endpoint -> endpoint.name() + " " + endpoint.state())
                                        .toList())
                .log("list");
        return result;
    }

    private void closeIdleConnections(Collection<ListedEndpoint> affected) {
        for (ListedEndpoint endpoint : affected) {
            if (endpoint.state() != EndpointState.READY) {
                context.upstreamClients().closeIdle(endpoint.address());
            }
        }
    }

    // Cache warming is notified of every change, including those that cause no event for the
    // router.
    private Optional<RouterEvent> notifyWarmingAndAdaptWeights(
            Optional<EndpointListReceived> event) {
        warming.ifPresent(WarmingCoordinator::onEndpointListChanged);
        return event.map(
                list -> warming.isPresent() ? warming.get().withWarmingWeights(list) : list);
    }

    // ---- On the writing thread

    // Informs the sender that the change is in force but would be lost by a restart.
    private static UpdateResult withSaveFailure(
            UpdateResult result, Optional<IOException> failure) {
        return failure.isPresent() && result.applied()
                ? result.withSaveError(String.valueOf(failure.get().getMessage()))
                : result;
    }
}
