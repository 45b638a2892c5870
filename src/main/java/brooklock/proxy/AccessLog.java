package brooklock.proxy;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes one entry for each admitted request that has ended, to the logger "answers". Thread-safe.
 */
final class AccessLog {
    private static final Logger LOG = LoggerFactory.getLogger("answers");

    private AccessLog() {}

    /**
     * Writes the entry of a request.
     *
     * @param exchange the request, which must have ended
     * @param nowNs the current time on the dispatcher's clock, in ns
     */
    static void writeEntry(ProxyExchange exchange, long nowNs) {
        if (!LOG.isInfoEnabled()) {
            return;
        }
        RoutedRequest request = exchange.request;
        String requestId = request.client().head().fields().get("X-Request-Id");
        LOG.atInfo()
                .addKeyValue("id", exchange.id)
                .addKeyValue("request", requestId == null ? "" : requestId)
                .addKeyValue("tenant", request.tenantName())
                .addKeyValue(
                        "line",
                        request.caller().map(AuthorizationResult.Authorized::policyLine).orElse(0))
                .addKeyValue("class", request.match().requestClass().name())
                .addKeyValue("object", Long.toHexString(request.match().object()))
                .addKeyValue("part", request.match().part())
                .addKeyValue("attempts", exchange.attemptDescriptions())
                .addKeyValue("final", exchange.completion().logWord())
                .addKeyValue("status", exchange.status())
                .addKeyValue("bytes", exchange.responseBytes())
                .addKeyValue("us", (nowNs - request.acceptedAtNs()) / 1000)
                .log("answer");
    }
}
