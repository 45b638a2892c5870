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
import brooklock.routing.RouterEvent.PurgeReceived;
import java.math.BigDecimal;
import java.net.URI;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * The control listener: purges, lists, drains by hand, the state. A notice is answered once the
 * module has it, and may be repeated without harm. docs/operating.md states each.
 */
final class ControlHandler {
    private final Dispatcher dispatcher;
    private final RouteTable routeTable;
    // The decision thread's own.
    private final PurgeTimes purgeTimes = new PurgeTimes();

    ControlHandler(Dispatcher dispatcher) {
        this.dispatcher = dispatcher;
        routeTable = new RouteTable(dispatcher.settings);
    }

    void handle(HttpExchange exchange) {
        String target = exchange.head().target();
        int queryStart = target.indexOf('?');
        String path = queryStart < 0 ? target : target.substring(0, queryStart);
        try {
            Map<String, String> query =
                    parseQuery(queryStart < 0 ? "" : target.substring(queryStart + 1));
            switch (exchange.head().method() + " " + path) {
                case "GET /state" -> respond(exchange, 200, dispatcher.statePage());
                case "GET /hosts" ->
                        respond(
                                exchange,
                                200,
                                EndpointListCodec.encode(
                                        WatchEvent.unversioned(
                                                true,
                                                List.copyOf(
                                                        dispatcher
                                                                .endpointRegistry
                                                                .endpoints()
                                                                .values()))));
                case "POST /hosts" -> exchange.readBody(body -> applyEndpointList(exchange, body));
                case "POST /drain" ->
                        exchange.readBody(
                                body ->
                                        setManualState(
                                                exchange,
                                                query.get("host"),
                                                EndpointState.DRAINING));
                case "POST /gone" ->
                        exchange.readBody(
                                body ->
                                        setManualState(
                                                exchange, query.get("host"), EndpointState.GONE));
                case "POST /ready" ->
                        exchange.readBody(
                                body ->
                                        setManualState(
                                                exchange, query.get("host"), EndpointState.READY));
                case "POST /reset" ->
                        exchange.readBody(
                                body ->
                                        updateSource(
                                                exchange,
                                                "reset",
                                                m -> m.resetSource(query.get("source"))));
                case "POST /forget" ->
                        exchange.readBody(
                                body ->
                                        updateSource(
                                                exchange,
                                                "forget",
                                                m -> m.forgetSource(query.get("source"))));
                case "POST /purge" -> exchange.readBody(body -> purge(exchange, query));
                default ->
                        respond(
                                exchange,
                                404,
                                "no such question or order: "
                                        + exchange.head().method()
                                        + " "
                                        + path);
            }
        } catch (IllegalArgumentException e) {
            respond(exchange, 400, e.getMessage());
        }
    }

    private void applyEndpointList(HttpExchange exchange, byte[] body) {
        try {
            dispatcher.applyWatchEvent(
                    EndpointListCodec.decode(new String(body, StandardCharsets.UTF_8)),
                    respond(exchange));
        } catch (IllegalArgumentException e) {
            respond(exchange, 400, e.getMessage());
        }
    }

    private void setManualState(HttpExchange exchange, String host, EndpointState state) {
        dispatcher.updateEndpoints(
                "by hand: " + host + " " + state,
                m -> m.setOverride(host, state),
                EndpointListKind.DELTA,
                respond(exchange));
    }

    private void updateSource(
            HttpExchange exchange, String description, EndpointRegistry.Change change) {
        dispatcher.updateEndpoints(description, change, EndpointListKind.FULL, respond(exchange));
    }

    private static Consumer<UpdateResult> respond(HttpExchange exchange) {
        return result ->
                exchange.loop()
                        .execute(
                                () ->
                                        respond(
                                                exchange,
                                                result.status().httpStatus,
                                                result.responseBody()));
    }

    private void purge(HttpExchange exchange, Map<String, String> query) {
        try {
            String purgeTime = query.get("at");
            if (purgeTime == null || !purgeTime.matches("\\d{1,15}(\\.\\d{1,6})?")) {
                throw new IllegalArgumentException(
                        "a purge names its moment: at=MS, in ms since 1970");
            }
            Instant now = Instant.now();
            BigDecimal nowMs =
                    BigDecimal.valueOf(now.getEpochSecond())
                            .scaleByPowerOfTen(3)
                            .add(BigDecimal.valueOf(now.getNano(), 6));
            long ageNs =
                    Math.max(
                            0,
                            nowMs.subtract(new BigDecimal(purgeTime))
                                    .scaleByPowerOfTen(6)
                                    .longValue());
            if (!query.containsKey("group") && !query.containsKey("url")) {
                throw new IllegalArgumentException("a purge names url=URL or group=NAME");
            }
            int group =
                    query.containsKey("group") ? RouteTable.purgeGroupId(query.get("group")) : 0;
            long object = query.containsKey("group") ? 0 : objectOfUrl(query.get("url"));
            long receivedAtNs = dispatcher.clock.nowNs();
            dispatcher.routingThread.submitSupplied(
                    () -> {
                        PurgeReceived event =
                                new PurgeReceived(
                                        object,
                                        group,
                                        dispatcher.clock.nowNs()
                                                - receivedAtNs
                                                + purgeTimes.ageNs(
                                                        group + " " + object + " " + purgeTime,
                                                        receivedAtNs,
                                                        ageNs));
                        if (dispatcher.warmingCoordinator() != null) {
                            dispatcher
                                    .warmingCoordinator()
                                    .onPurge(event.object(), event.group(), event.ageNs());
                        }
                        return event;
                    },
                    () -> exchange.loop().execute(() -> respond(exchange, 200, "purged")));
        } catch (IllegalArgumentException e) {
            respond(exchange, 400, e.getMessage());
        }
    }

    private long objectOfUrl(String url) {
        URI uri = URI.create(url);
        if (uri.getRawAuthority() == null) {
            throw new IllegalArgumentException("'" + url + "' is not a whole URL");
        }
        try {
            return routeTable
                    .match(
                            "GET",
                            uri.getRawAuthority(),
                            uri.getRawPath()
                                    + (uri.getRawQuery() == null ? "" : "?" + uri.getRawQuery()),
                            true)
                    .object();
        } catch (RouteTable.NoRouteException e) {
            throw new IllegalArgumentException("'" + url + "': " + e.getMessage());
        }
    }

    private static Map<String, String> parseQuery(String text) {
        Map<String, String> parameters = new HashMap<>();
        for (String pair : text.split("&")) {
            int eq = pair.indexOf('=');
            if (eq > 0) {
                parameters.put(
                        pair.substring(0, eq),
                        URLDecoder.decode(pair.substring(eq + 1), StandardCharsets.UTF_8));
            }
        }
        return parameters;
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
