package brooklock.proxy;

import brooklock.http.Fields;
import brooklock.membership.EndpointListCodec;
import brooklock.membership.EndpointRegistry;
import brooklock.membership.PurgeTimes;
import brooklock.membership.UpdateResult;
import brooklock.membership.WatchEvent;
import brooklock.net.HttpExchange;
import brooklock.routing.EndpointListKind;
import brooklock.routing.EndpointState;
import brooklock.routing.RouterEvent;
import brooklock.routing.RouterEvent.PurgeReceived;
import java.math.BigDecimal;
import java.net.URI;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Handles control requests: purges, endpoint lists, overrides of endpoint states and the state
 * page. Any I/O thread may call it.
 *
 * <p>A change is acknowledged after the router has processed it and, if the endpoint list is saved
 * to a file, after the list is on disk. All changes are idempotent, so a sender that received no
 * response can safely send the request again. {@code docs/operating.md} describes every request.
 */
final class ControlHandler {
    private static final int MS_TO_NS_DIGITS = 6;

    private final ProxyContext context;
    private final EndpointListUpdater endpointListUpdater;
    private final Optional<WarmingCoordinator> warming;
    private final Supplier<String> statePage;
    private final RouteTable routeTable;
    // Used by the routing thread only.
    private final PurgeTimes purgeTimes = new PurgeTimes();

    ControlHandler(
            ProxyContext context,
            EndpointListUpdater endpointListUpdater,
            Optional<WarmingCoordinator> warming,
            Supplier<String> statePage) {
        this.context = context;
        this.endpointListUpdater = endpointListUpdater;
        this.warming = warming;
        this.statePage = statePage;
        routeTable = new RouteTable(context.settings());
    }

    /** Handles a request whose head has arrived. Must be called on the request's I/O thread. */
    void handle(HttpExchange exchange) {
        String target = exchange.head().target();
        int queryStart = target.indexOf('?');
        String path = queryStart < 0 ? target : target.substring(0, queryStart);
        try {
            Map<String, String> query =
                    parseQuery(queryStart < 0 ? "" : target.substring(queryStart + 1));
            switch (exchange.head().method()) {
                case "GET" -> handleGet(exchange, path);
                case "POST" -> handlePost(exchange, path, query);
                default -> respondNotFound(exchange, path);
            }
        } catch (IllegalArgumentException e) {
            respond(exchange, 400, e.getMessage());
        }
    }

    private void handleGet(HttpExchange exchange, String path) {
        switch (path) {
            case "/state" -> respond(exchange, 200, statePage.get());
            case "/hosts" -> respond(exchange, 200, encodeEndpointList());
            default -> respondNotFound(exchange, path);
        }
    }

    private void handlePost(HttpExchange exchange, String path, Map<String, String> query) {
        switch (path) {
            case "/hosts" -> exchange.readBody(body -> applyWatchEvent(exchange, body));
            case "/drain" -> setOverride(exchange, query, EndpointState.DRAINING);
            case "/gone" -> setOverride(exchange, query, EndpointState.GONE);
            case "/ready" -> setOverride(exchange, query, EndpointState.READY);
            case "/reset" ->
                    updateSource(
                            exchange,
                            "reset",
                            membership -> membership.resetSource(query.get("source")));
            case "/forget" ->
                    updateSource(
                            exchange,
                            "forget",
                            membership -> membership.forgetSource(query.get("source")));
            case "/purge" -> exchange.readBody(body -> handlePurge(exchange, query));
            default -> respondNotFound(exchange, path);
        }
    }

    private static Map<String, String> parseQuery(String text) {
        Map<String, String> parameters = new HashMap<>();
        for (String pair : text.split("&", -1)) {
            int equalsIndex = pair.indexOf('=');
            if (equalsIndex > 0) {
                parameters.put(
                        pair.substring(0, equalsIndex),
                        URLDecoder.decode(pair.substring(equalsIndex + 1), StandardCharsets.UTF_8));
            }
        }
        return parameters;
    }

    // ---- Endpoint lists

    private String encodeEndpointList() {
        return EndpointListCodec.encode(
                WatchEvent.unversioned(
                        true, List.copyOf(context.endpointRegistry().endpoints().values())));
    }

    private void applyWatchEvent(HttpExchange exchange, byte[] body) {
        try {
            endpointListUpdater.apply(
                    EndpointListCodec.decode(new String(body, StandardCharsets.UTF_8)),
                    responder(exchange));
        } catch (IllegalArgumentException e) {
            respond(exchange, 400, e.getMessage());
        }
    }

    // An override appears as "by hand" in the log and as "by-hand" on the state page.
    private void setOverride(
            HttpExchange exchange, Map<String, String> query, EndpointState state) {
        String name = query.get("host");
        exchange.readBody(
                body ->
                        endpointListUpdater.update(
                                "by hand: " + name + " " + state,
                                membership -> membership.setOverride(name, state),
                                EndpointListKind.DELTA,
                                responder(exchange)));
    }

    private void updateSource(
            HttpExchange exchange, String description, EndpointRegistry.Change change) {
        exchange.readBody(
                body ->
                        endpointListUpdater.update(
                                description, change, EndpointListKind.FULL, responder(exchange)));
    }

    private static Consumer<UpdateResult> responder(HttpExchange exchange) {
        return result ->
                exchange.loop()
                        .execute(
                                () ->
                                        respond(
                                                exchange,
                                                result.status().httpStatus(),
                                                result.responseBody()));
    }

    // ---- Purges

    private void handlePurge(HttpExchange exchange, Map<String, String> query) {
        try {
            String issuedAt = query.get("at");
            if (issuedAt == null || !issuedAt.matches("\\d{1,15}(\\.\\d{1,6})?")) {
                throw new InvalidControlRequestException(
                        "a purge needs its time: at=MS, in ms since 1970");
            }
            long ageNs = ageNs(new BigDecimal(issuedAt));
            if (!query.containsKey("group") && !query.containsKey("url")) {
                throw new InvalidControlRequestException("a purge names url=URL or group=NAME");
            }
            boolean isGroupPurge = query.containsKey("group");
            int group = isGroupPurge ? RouteTable.purgeGroupId(query.get("group")) : 0;
            long object = isGroupPurge ? 0 : objectOfUrl(query.get("url"));
            long receivedAtNs = context.clock().nowNs();
            context.routingThread()
                    .submitComputed(
                            () ->
                                    Optional.of(
                                            purgeEvent(
                                                    object, group, issuedAt, receivedAtNs, ageNs)),
                            () -> exchange.loop().execute(() -> respond(exchange, 200, "purged")));
        } catch (IllegalArgumentException e) {
            respond(exchange, 400, e.getMessage());
        }
    }

    private static long ageNs(BigDecimal issuedAtMs) {
        Instant now = Instant.now();
        BigDecimal nowMs =
                BigDecimal.valueOf(now.getEpochSecond())
                        .scaleByPowerOfTen(3)
                        .add(BigDecimal.valueOf(now.getNano(), MS_TO_NS_DIGITS));
        BigDecimal ageMs = nowMs.subtract(issuedAtMs);
        return Math.max(0, ageMs.scaleByPowerOfTen(MS_TO_NS_DIGITS).longValue());
    }

    // Runs on the routing thread. The time of a purge is fixed when its first request arrives. If a
    // repeated request converted the time again after the wall clock was set, the purge would cover
    // more or fewer copies.
    private RouterEvent purgeEvent(
            long object, int group, String issuedAt, long receivedAtNs, long ageNs) {
        String key = group + " " + object + " " + issuedAt;
        long ageAtReceiptNs = purgeTimes.ageNs(key, receivedAtNs, ageNs);
        PurgeReceived event =
                new PurgeReceived(
                        object, group, context.clock().nowNs() - receivedAtNs + ageAtReceiptNs);
        warming.ifPresent(coordinator -> coordinator.onPurge(event));
        return event;
    }

    private long objectOfUrl(String url) {
        URI uri = URI.create(url);
        if (uri.getRawAuthority() == null) {
            throw new InvalidControlRequestException("'" + url + "' is not a whole URL");
        }
        String query = uri.getRawQuery() == null ? "" : "?" + uri.getRawQuery();
        try {
            return routeTable
                    .match("GET", uri.getRawAuthority(), uri.getRawPath() + query, true)
                    .object();
        } catch (RouteTable.NoRouteException e) {
            throw new InvalidControlRequestException("'" + url + "': " + e.getMessage(), e);
        }
    }

    // ---- Responses

    private static void respondNotFound(HttpExchange exchange, String path) {
        respond(exchange, 404, "no such control request: " + exchange.head().method() + " " + path);
    }

    private static void respond(HttpExchange exchange, int status, String text) {
        exchange.send(
                status,
                new Fields()
                        .add("Content-Type", "text/plain; charset=utf-8")
                        .add("Cache-Control", "no-store"),
                (text.endsWith("\n") ? text : text + "\n").getBytes(StandardCharsets.UTF_8));
    }
}
