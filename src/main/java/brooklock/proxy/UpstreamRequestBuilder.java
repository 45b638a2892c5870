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

/**
 * Builds the heads of requests to endpoints; {@code docs/protocol.md} documents their fields.
 * Stateless and thread-safe.
 */
final class UpstreamRequestBuilder {
    /**
     * The prefix, in lower case, of the names of fields that dispatchers and endpoints exchange.
     * Such fields are removed from clients' requests, because a client could otherwise select a
     * fill source or a peer.
     */
    static final String INTERNAL_FIELD_PREFIX = "brooklock-";

    // The router determines which age of a copy is acceptable, and caches store whole parts.
    // Therefore the client's fields about freshness and ranges are not forwarded.
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
     * The endpoints that are involved in an attempt.
     *
     * @param endpoint the endpoint that receives the request
     * @param source the fill source for a cache miss; equal to {@code endpoint} if no fill is
     *     allowed
     * @param peer the peer that is tried before the fill source, or null if no peer is tried
     */
    record Target(ListedEndpoint endpoint, ListedEndpoint source, ListedEndpoint peer) {}

    private UpstreamRequestBuilder() {}

    /**
     * Builds the head of an attempt's request.
     *
     * @param attemptNumber the index among the request's attempts
     * @param dispatcherName the name of this dispatcher, for the Via field
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
        String cacheControl = buildCacheControl(fills, maxAgeNs);
        if (!cacheControl.isEmpty() && !requestClass.passThrough()) {
            fields.add("Cache-Control", cacheControl);
        }
        fields.add("Brooklock-Copy", buildCopyField(exchange.request.match()));
        fields.add("Brooklock-Get", buildGetField(action, target, fills, maxAgeNs));
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
        // The dispatcher does not forward credentials that it has checked. Requests of cached
        // classes never carry cookies, because many clients share the copy.
        if (request.caller().isPresent() || !request.match().requestClass().passThrough()) {
            fields.remove("Authorization").remove("Cookie");
        }
        return fields;
    }

    // Cache-Control is for endpoints that do not support Brooklock-Get. The age is rounded down to
    // whole seconds, so that it never allows an older copy.
    private static String buildCacheControl(boolean fills, long maxAgeNs) {
        String onlyIfCached = fills ? "" : "only-if-cached";
        if (maxAgeNs <= 0) {
            return onlyIfCached;
        }
        return onlyIfCached + (fills ? "" : ", ") + "max-age=" + maxAgeNs / NS_PER_SECOND;
    }

    private static String buildCopyField(RouteTable.Match match) {
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

    private static String buildGetField(
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

    /** Returns an endpoint's address in the form that the field Brooklock-Get contains. */
    static String quotedAddress(ListedEndpoint endpoint) {
        return "\""
                + endpoint.address().getAddress().getHostAddress()
                + ':'
                + endpoint.address().getPort()
                + '"';
    }
}
