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
 * Executes the router's actions on the I/O threads that own the requests. Must be used on the
 * routing thread only.
 *
 * <p>Each I/O thread receives the actions of a batch as one task, in their order.
 */
final class ActionExecutor implements RoutingThread.ActionHandler {
    private final IoThreads ioThreads;
    private final EndpointListUpdater endpointListUpdater;
    private final Optional<WarmingCoordinator> warming;
    // Contains a request from before it is routed until the router has processed its end, because
    // the router may act on it at any time in between.
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

    /** Adds a request. Must be called before the request is routed. */
    void add(ProxyExchange exchange) {
        exchanges.put(exchange.id, exchange);
    }

    /** Removes a request. Later actions on it have no effect. */
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
            // Submitting from the routing thread would block forever if the queue were full. The
            // router never returns this action, because the settings have watchesEndpointList false
            // and no list of kind FAILED is submitted.
            endpointListUpdater.submitFullList();
        }
    }

    @Override
    public void onRoutingFailure(long requestId) {
        runOnIoThread(exchanges.get(requestId), ProxyExchange::fail);
    }

    private void runOnIoThread(ProxyExchange exchange, Consumer<ProxyExchange> task) {
        if (exchange != null) {
            int loopNumber = exchange.request.client().loop().number();
            batchByLoop.get(loopNumber).add(() -> task.accept(exchange));
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
