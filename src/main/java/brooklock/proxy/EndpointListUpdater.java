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
 * Changes the endpoint list in force. Any thread may call.
 *
 * <p>Each change is made on the routing thread, which owns the list, against what is in force there
 * and then. It is acknowledged after it is saved: what has been acknowledged holds through a kill.
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
     * Puts the list that was saved last in force, or else that of the settings, and waits for it: a
     * request that came earlier would find no endpoint.
     *
     * @throws InitialListTimeoutException if it is not in force in time
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
            LOG.error(
                    "the saved list cannot be used; the endpoints of the settings are used instead",
                    e);
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
     * Applies a watch event. The log has it under its version, or as {@code unnumbered list} where
     * it has none.
     *
     * @param onResult gets what came of it once that is saved, on the writing thread, or on the
     *     routing thread where nothing is to be saved
     */
    void apply(WatchEvent event, Consumer<UpdateResult> onResult) {
        update(
                event.version() == null ? "unnumbered list" : event.version().toString(),
                membership -> membership.apply(System.currentTimeMillis(), event),
                event.full() ? EndpointListKind.FULL : EndpointListKind.DELTA,
                onResult);
    }

    /**
     * Makes a change.
     *
     * @param description names the change in the log
     * @param kind how the router is to read the endpoints that change
     * @param onResult as for {@link #apply}
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
                            return forRouter(
                                    context.endpointRegistry().toListEvent(result[0], kind));
                        },
                        () ->
                                store.save(
                                        context.endpointRegistry().state(),
                                        failure ->
                                                onResult.accept(withFailure(result[0], failure))));
    }

    /**
     * Submits the whole list in force to the router. To be called on the routing thread only while
     * its queue has room: it would wait for itself.
     */
    void submitFullList() {
        context.routingThread()
                .submitComputed(
                        () ->
                                forRouter(
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
            // One event that can't be applied must not stop the others, nor routing.
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

    // The warming of caches follows every change, also one that is no event for the router.
    private Optional<RouterEvent> forRouter(Optional<EndpointListReceived> event) {
        warming.ifPresent(WarmingCoordinator::onEndpointListChanged);
        return event.map(
                list -> warming.isPresent() ? warming.get().withWarmingWeights(list) : list);
    }

    // ---- On the writing thread

    // Tells the sender that the list applies but would be lost by a restart.
    private static UpdateResult withFailure(UpdateResult result, Optional<IOException> failure) {
        return failure.isPresent() && result.applied()
                ? result.withSaveError(String.valueOf(failure.get().getMessage()))
                : result;
    }
}
