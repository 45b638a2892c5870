package brooklock.proxy;

import brooklock.config.Settings.RequestClassSettings;
import brooklock.http.Fields;
import brooklock.http.Forwarding;
import brooklock.http.RequestHead;
import brooklock.membership.ListedEndpoint;
import brooklock.routing.RouterAction.StartAttempt;
import java.util.Locale;
import java.util.Set;

/** A request's head on its way to a host; docs/protocol.md states every field. */
final class UpstreamRequestBuilder {
    /**
     * Begins the names of fields between dispatcher and hosts; a client's own of such names go no
     * further.
     */
    static final String INTERNAL_FIELD_PREFIX = "brooklock-";

    // What is asked of a cache is the module's to say, and copies are of whole parts: the client's
    // own wishes for
    // freshness and ranges are not passed on.
    private static final Set<String> NOT_FORWARDED_FIELDS =
            Set.of(
                    "cache-control",
                    "pragma",
                    "range",
                    "if-range",
                    "expect",
                    "content-length",
                    "idempotency-key");

    private UpstreamRequestBuilder() {}

    static RequestHead buildHead(
            ProxyExchange exchange,
            int attemptNumber,
            StartAttempt action,
            ListedEndpoint host,
            ListedEndpoint source,
            ListedEndpoint peer,
            String dispatcherName) {
        RequestHead clientHead = exchange.client.head();
        Fields fields = Forwarding.endToEnd(clientHead.fields());
        fields.removeIf(
                fieldName -> {
                    String lowerCase = fieldName.toLowerCase(Locale.ROOT);
                    return lowerCase.startsWith(INTERNAL_FIELD_PREFIX)
                            || NOT_FORWARDED_FIELDS.contains(lowerCase);
                });
        // Credentials end here. A cached class gets no cookies at all: the copy is for many.
        if (exchange.authorization != null || !exchange.match.requestClass().passThrough()) {
            fields.remove("Authorization").remove("Cookie");
        }
        Forwarding.appendVia(fields, clientHead.minorVersion(), dispatcherName);
        RequestClassSettings requestClass = exchange.match.requestClass();
        if (requestClass.effect() == brooklock.config.Settings.Effect.KEYED) {
            fields.add("Idempotency-Key", clientHead.fields().get("Idempotency-Key"));
        }
        if (exchange.body.length > 0 || exchange.client.hasBody()) {
            fields.add("Content-Length", Integer.toString(exchange.body.length));
        }
        long maxAgeNs = action.maxAgeNs() > 0 ? action.maxAgeNs() : requestClass.freshnessNs();
        boolean fills = action.fillSource() != action.endpoint();
        // Whole seconds, rounded down, for a cache that knows no finer: stricter, never laxer.
        String cacheControl =
                (fills ? "" : "only-if-cached")
                        + (maxAgeNs > 0
                                ? (fills ? "" : ", ") + "max-age=" + maxAgeNs / 1_000_000_000L
                                : "");
        if (!cacheControl.isEmpty() && !requestClass.passThrough()) {
            fields.add("Cache-Control", cacheControl);
        }
        fields.add(
                "Brooklock-Copy",
                "object="
                        + Long.toHexString(exchange.match.object())
                        + ", part="
                        + exchange.match.part()
                        + ", group="
                        + exchange.match.group()
                        + ", class="
                        + requestClass.name()
                        + (requestClass.passThrough() ? ", through" : ""));
        StringBuilder brooklockGet = new StringBuilder("keep=").append(action.cachePriority());
        if (fills) {
            brooklockGet
                    .append(", source=")
                    .append(source.name())
                    .append(", at=")
                    .append(quotedAddress(source));
            if (peer != null) {
                brooklockGet
                        .append(", first=")
                        .append(peer.name())
                        .append(", first-at=")
                        .append(quotedAddress(peer));
            }
        }
        if (maxAgeNs > 0) {
            brooklockGet.append(", oldest=").append(maxAgeNs / 1000);
        }
        brooklockGet
                .append(action.collapse() ? ", join" : "")
                .append(action.onlyIfCached() ? ", held-only" : "");
        fields.add("Brooklock-Get", brooklockGet.toString());
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
                clientHead.authority().isEmpty() ? host.name() : clientHead.authority(),
                1,
                fields);
    }

    /** A host's address as it stands in Brooklock-Get. */
    static String quotedAddress(ListedEndpoint member) {
        return "\""
                + member.address().getAddress().getHostAddress()
                + ':'
                + member.address().getPort()
                + '"';
    }
}
