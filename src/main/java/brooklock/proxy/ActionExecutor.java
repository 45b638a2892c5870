package brooklock.proxy;

import brooklock.net.IoThreads;
import brooklock.routing.RouterAction;
import brooklock.routing.RouterAction.CancelAttempt;
import brooklock.routing.RouterAction.FailRequest;
import brooklock.routing.RouterAction.RejectRequest;
import brooklock.routing.RouterAction.StartAttempt;
import brooklock.routing.RouterAction.WatchEndpoints;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Carries out the router's actions on the I/O threads that own the requests. All of it belongs to
 * the routing thread.
 *
 * <p>The actions of a batch are handed to each I/O thread in one piece and in their order.
 */
final class ActionExecutor implements RoutingThread.ActionHandler {
    private final IoThreads ioThreads;
    private final EndpointListUpdater endpointListUpdater;
    private final Optional<WarmingCoordinator> warming;
    // From before a request is routed until after its end is: the router may act on it meanwhile.
    private final Map<Long, ProxyExchange> exchanges = new HashMap<>();
    private final List<List<Runnable>> batchByLoop = new ArrayList<>();

    ActionExecutor(
            IoThreads ioThreads,
            EndpointListUpdater endpointListUpdater,
            Optional<WarmingCoordinator> warming) {
        this.ioThreads = ioThreads;
        this.endpointListUpdater = endpointListUpdater;
        this.warming = warming;
        for (int i = 0; i < ioThreads.size(); i++) {
            batchByLoop.add(new ArrayList<>());
        }
    }

    /** Adds a request that is about to be routed. */
    void add(ProxyExchange exchange) {
        exchanges.put(exchange.id, exchange);
    }

    /** Forgets a request; actions on it do nothing from now on. */
    void remove(ProxyExchange exchange) {
        exchanges.remove(exchange.id);
    }

    @Override
    public void onAction(RouterAction action) {
        if (action instanceof StartAttempt start) {
            ProxyExchange exchange = exchanges.get(start.id());
            if (exchange != null) {
                long peerId =
                        warming.isPresent()
                                ? warming.get().selectFillPeer(start, exchange.request.match())
                                : UpstreamAttempt.NO_PEER;
                runOnIoThread(exchange, request -> request.startAttempt(start, peerId));
            }
        } else if (action instanceof RejectRequest reject) {
            runOnIoThread(
                    exchanges.get(reject.id()), exchange -> exchange.reject(reject.retryAfterNs()));
        } else if (action instanceof FailRequest fail) {
            runOnIoThread(exchanges.get(fail.id()), ProxyExchange::fail);
        } else if (action instanceof CancelAttempt cancel) {
            runOnIoThread(
                    exchanges.get(cancel.id()),
                    exchange -> exchange.cancelAttempt(cancel.attempt()));
        } else if (action instanceof WatchEndpoints) {
            // On the routing thread: a full queue would block it for ever. It never comes here: the
            // settings have watchesEndpointList false, and no list of kind FAILED is submitted.
            endpointListUpdater.submitFullList();
        }
    }

    @Override
    public void onRoutingFailure(long requestId) {
        runOnIoThread(exchanges.get(requestId), ProxyExchange::fail);
    }

    private void runOnIoThread(ProxyExchange exchange, Consumer<ProxyExchange> task) {
        if (exchange != null) {
            int loop = exchange.request.client().loop().number();
            batchByLoop.get(loop).add(() -> task.accept(exchange));
        }
    }

    @Override
    public void onBatchEnd() {
        for (int i = 0; i < batchByLoop.size(); i++) {
            List<Runnable> batch = batchByLoop.get(i);
            if (!batch.isEmpty()) {
                batchByLoop.set(i, new ArrayList<>());
                ioThreads.loop(i).execute(() -> batch.forEach(Runnable::run));
            }
        }
    }
}
