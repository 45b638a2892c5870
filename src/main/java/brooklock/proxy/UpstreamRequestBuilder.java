package brooklock.proxy;

import brooklock.config.Settings;
import brooklock.config.Settings.RequestClassSettings;
import brooklock.http.Fields;
import brooklock.http.Forwarding;
import brooklock.http.RequestHead;
import brooklock.membership.ListedEndpoint;
import brooklock.routing.RouterAction.StartAttempt;
import java.util.Locale;
import java.util.Set;

/** Builds the head that an endpoint gets; {@code docs/protocol.md} has every field. */
final class UpstreamRequestBuilder {
    /**
     * Begins the names of the fields between dispatchers and endpoints, in lower case. A client's
     * own fields of such names are dropped: it could name a source or a peer by them.
     */
    static final String INTERNAL_FIELD_PREFIX = "brooklock-";

    // The router says what is requested of a cache, and copies are of whole parts: what the client
    // says about freshness and ranges is not forwarded.
    private static final Set<String> NOT_FORWARDED_FIELDS =
            Set.of(
                    "cache-control",
                    "pragma",
                    "range",
                    "if-range",
                    "expect",
                    "content-length",
                    "idempotency-key");
    private static final long NS_PER_SECOND = 1_000_000_000L;

    /**
     * Who takes part in an attempt.
     *
     * @param endpoint gets the request
     * @param source fills a cache miss; the endpoint itself for no fill
     * @param peer is tried before the source; null for none
     */
    record Target(ListedEndpoint endpoint, ListedEndpoint source, ListedEndpoint peer) {}

    private UpstreamRequestBuilder() {}

    /**
     * Builds the head of an attempt.
     *
     * @param attemptNumber index among the request's attempts
     * @param dispatcherName goes into Via
     */
    static RequestHead buildHead(
            ProxyExchange exchange,
            int attemptNumber,
            StartAttempt action,
            Target target,
            String dispatcherName) {
        RequestHead clientHead = exchange.client().head();
        RequestClassSettings requestClass = exchange.request.match().requestClass();
        Fields fields = forwardedFields(exchange.request);
        Forwarding.appendVia(fields, clientHead.minorVersion(), dispatcherName);
        if (requestClass.effect() == Settings.Effect.KEYED) {
            fields.add("Idempotency-Key", clientHead.fields().get("Idempotency-Key"));
        }
        if (exchange.body.length > 0 || exchange.client().hasBody()) {
            fields.add("Content-Length", Integer.toString(exchange.body.length));
        }
        long maxAgeNs =
                action.maxAgeNs() > 0 ? action.maxAgeNs() : requestClass.freshnessLifetimeNs();
        boolean fills = action.fillsOnMiss();
        String cacheControl = cacheControl(fills, maxAgeNs);
        if (!cacheControl.isEmpty() && !requestClass.passThrough()) {
            fields.add("Cache-Control", cacheControl);
        }
        fields.add("Brooklock-Copy", copyField(exchange.request.match()));
        fields.add("Brooklock-Get", getField(action, target, fills, maxAgeNs));
        fields.add(
                "Brooklock-Attempt",
                "id="
                        + exchange.id
                        + ", try="
                        + attemptNumber
                        + ", left="
                        + action.timeoutNs() / 1000);
        return new RequestHead(
                clientHead.method(),
                clientHead.target(),
                clientHead.authority().isEmpty()
                        ? target.endpoint().name()
                        : clientHead.authority(),
                1,
                fields);
    }

    private static Fields forwardedFields(RoutedRequest request) {
        Fields fields = Forwarding.endToEnd(request.client().head().fields());
        fields.removeIf(
                name -> {
                    String lowerCase = name.toLowerCase(Locale.ROOT);
                    return lowerCase.startsWith(INTERNAL_FIELD_PREFIX)
                            || NOT_FORWARDED_FIELDS.contains(lowerCase);
                });
        // Credentials end here. A cached class gets no cookies at all: the copy is for many.
        if (request.caller().isPresent() || !request.match().requestClass().passThrough()) {
            fields.remove("Authorization").remove("Cookie");
        }
        return fields;
    }

    // For an endpoint that knows no Brooklock-Get. Whole seconds, rounded down: never laxer.
    private static String cacheControl(boolean fills, long maxAgeNs) {
        String onlyIfCached = fills ? "" : "only-if-cached";
        if (maxAgeNs <= 0) {
            return onlyIfCached;
        }
        return onlyIfCached + (fills ? "" : ", ") + "max-age=" + maxAgeNs / NS_PER_SECOND;
    }

    private static String copyField(RouteTable.Match match) {
        return "object="
                + Long.toHexString(match.object())
                + ", part="
                + match.part()
                + ", group="
                + match.group()
                + ", class="
                + match.requestClass().name()
                + (match.requestClass().passThrough() ? ", through" : "");
    }

    private static String getField(
            StartAttempt action, Target target, boolean fills, long maxAgeNs) {
        StringBuilder value = new StringBuilder("keep=").append(action.cachePriority());
        if (fills) {
            value.append(", source=").append(target.source().name());
            value.append(", at=").append(quotedAddress(target.source()));
            if (target.peer() != null) {
                value.append(", first=").append(target.peer().name());
                value.append(", first-at=").append(quotedAddress(target.peer()));
            }
        }
        if (maxAgeNs > 0) {
            value.append(", oldest=").append(maxAgeNs / 1000);
        }
        return value.append(action.collapse() ? ", join" : "")
                .append(action.onlyIfCached() ? ", held-only" : "")
                .toString();
    }

    /** Returns an endpoint's address as Brooklock-Get has it. */
    static String quotedAddress(ListedEndpoint endpoint) {
        return "\""
                + endpoint.address().getAddress().getHostAddress()
                + ':'
                + endpoint.address().getPort()
                + '"';
    }
}
