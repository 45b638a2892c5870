package brooklock.proxy;

import brooklock.http.Fields;
import brooklock.http.Forwarding;
import brooklock.http.RequestHead;
import brooklock.net.HttpExchange;
import brooklock.routing.RouterEvent.RequestReceived;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Admits requests to the routing thread's queue, or rejects them.
 *
 * <p>A request passes these steps in order: checks of its head, route lookup, authorization if the
 * route requires it, the limit of open requests, the limit of body bytes, receipt of the whole
 * body, the queue of the routing thread and, on that thread, its tenant's limits. All steps but the
 * last run on the client's I/O thread; several I/O threads may use this class concurrently.
 */
final class RequestAdmission {
    private static final byte[] NO_BODY = new byte[0];

    private final ProxyContext context;
    private final RouteTable routeTable;
    private final RequestAuthorizer authorizer;
    private final RequestCapacity capacity;
    private final DispatcherCounters counters;
    // Used by the routing thread only.
    private final TenantAdmission tenantAdmission;
    private final ActionExecutor actionExecutor;
    private final Optional<WarmingCoordinator> warming;

    private final AtomicLong lastRequestId = new AtomicLong();
    private volatile boolean rejectsNewRequests;

    RequestAdmission(
            ProxyContext context,
            RequestAuthorizer authorizer,
            RequestCapacity capacity,
            DispatcherCounters counters,
            ActionExecutor actionExecutor,
            Optional<WarmingCoordinator> warming) {
        this.context = context;
        this.authorizer = authorizer;
        this.capacity = capacity;
        this.counters = counters;
        this.actionExecutor = actionExecutor;
        this.warming = warming;
        routeTable = new RouteTable(context.settings());
        tenantAdmission = new TenantAdmission(context.clock(), authorizer::policy);
    }

    /** Rejects all new requests from now on. Open requests continue. Thread-safe. */
    void rejectNewRequests() {
        rejectsNewRequests = true;
    }

    /**
     * Admits or rejects a request whose head has arrived. Must be called on the client's I/O
     * thread.
     */
    void onRequest(HttpExchange client) {
        long nowNs = context.clock().nowNs();
        RequestHead head = client.head();
        if (rejectsNewRequests) {
            reject(client, ErrorResponse.SHUTTING_DOWN);
        } else if (Forwarding.hasPassedThrough(head.fields(), context.settings().name())) {
            reject(client, ErrorResponse.FORWARDING_LOOP);
        } else if (head.fields().get("Expect") != null && !head.expectsContinue()) {
            reject(client, ErrorResponse.UNKNOWN_EXPECTATION);
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
                            client, match, result -> onAuthorized(client, nowNs, match, result));
                } else {
                    accept(toRoutedRequest(client, nowNs, match, Optional.empty()));
                }
            } catch (RouteTable.NoRouteException e) {
                reject(client, e.response(), "", e.allowedMethods());
            }
        }
    }

    private void onAuthorized(
            HttpExchange client,
            long acceptedAtNs,
            RouteTable.Match match,
            AuthorizationResult result) {
        if (client.isEnded()) {
            // The client disconnected while its token was being verified.
            return;
        }
        if (result instanceof AuthorizationResult.Authorized caller) {
            accept(toRoutedRequest(client, acceptedAtNs, match, Optional.of(caller)));
        } else if (result instanceof AuthorizationResult.Denied denied) {
            reject(client, denied.response(), denied.publicDetail(), Optional.empty());
        }
    }

    private static RoutedRequest toRoutedRequest(
            HttpExchange client,
            long acceptedAtNs,
            RouteTable.Match match,
            Optional<AuthorizationResult.Authorized> caller) {
        long deadlineNs =
                acceptedAtNs + timeoutNs(client.head().fields(), match.requestClass().deadlineNs());
        return new RoutedRequest(client, match, caller, acceptedAtNs, deadlineNs);
    }

    // A client may shorten the deadline of its class with a time in ms, but not extend it.
    private static long timeoutNs(Fields fields, long maxNs) {
        String requestedMs = fields.get("Brooklock-Patience");
        return requestedMs != null && requestedMs.matches("\\d{1,9}")
                ? Math.min(maxNs, Math.max(1, Long.parseLong(requestedMs)) * 1_000_000L)
                : maxNs;
    }

    private void accept(RoutedRequest request) {
        HttpExchange client = request.client();
        if (!capacity.tryOpenRequest()) {
            reject(client, ErrorResponse.OPEN_REQUEST_LIMIT);
        } else if (!client.hasBody()) {
            enqueue(request, NO_BODY);
        } else if (!capacity.tryReserveBody()) {
            capacity.closeRequest(0);
            reject(client, ErrorResponse.BODY_LIMIT);
        } else {
            readBody(request);
        }
    }

    private void readBody(RoutedRequest request) {
        boolean[] bodyComplete = new boolean[1];
        request.client()
                .onClientGone(
                        () -> {
                            if (!bodyComplete[0]) {
                                capacity.cancelReservation();
                                capacity.closeRequest(0);
                            }
                        });
        request.client()
                .readBody(
                        body -> {
                            bodyComplete[0] = true;
                            capacity.shrinkReservation(body.length);
                            enqueue(request, body);
                        });
    }

    private void enqueue(RoutedRequest request, byte[] body) {
        ProxyExchange exchange =
                new ProxyExchange(
                        context,
                        lastRequestId.incrementAndGet(),
                        request,
                        body,
                        warming,
                        this::onExchangeEnded);
        request.client().onClientGone(exchange::onClientGone);
        RequestReceived event = exchange.toRequestEvent();
        if (context.routingThread().offerRequest(event, () -> admit(exchange))) {
            counters.countAccepted();
        } else {
            capacity.closeRequest(body.length);
            request.client().onClientGone(null);
            reject(request.client(), ErrorResponse.ROUTING_QUEUE_LIMIT);
        }
    }

    // Runs on the routing thread. Returns false if the request was rejected because
    // it exceeds one of its tenant's limits.
    private boolean admit(ProxyExchange exchange) {
        if (!tenantAdmission.tryAcquire(exchange)) {
            return false;
        }
        actionExecutor.add(exchange);
        warming.ifPresent(coordinator -> coordinator.onRequest(exchange.request));
        return true;
    }

    // Runs on the client's I/O thread, after the final response and the last attempt have ended.
    private void onExchangeEnded(ProxyExchange exchange) {
        counters.countCompletion(exchange.completion());
        AccessLog.writeEntry(exchange, context.clock().nowNs());
        capacity.closeRequest(exchange.body.length);
        // Queued after the events that end the request, because the router may act on the request
        // until it has processed them.
        context.routingThread()
                .execute(
                        () -> {
                            actionExecutor.remove(exchange);
                            tenantAdmission.release(exchange);
                        });
    }

    private void reject(HttpExchange client, ErrorResponse response) {
        reject(client, response, "", Optional.empty());
    }

    private void reject(
            HttpExchange client,
            ErrorResponse response,
            String detail,
            Optional<String> allowedMethods) {
        counters.countRejected(response);
        Fields fields = response.fieldsBeforeAdmission(context.settings().name());
        allowedMethods.ifPresent(allowed -> fields.add("Allow", allowed));
        client.send(response.status(), fields, response.body(detail));
    }
}
