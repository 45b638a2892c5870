package brooklock.proxy;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One line an answer, to the logger "answers". */
final class AccessLog {
    private static final Logger LOG = LoggerFactory.getLogger("answers");

    private AccessLog() {}

    static void writeEntry(ProxyExchange exchange, long nowNs) {
        if (!LOG.isInfoEnabled()) {
            return;
        }
        String requestId = exchange.client.head().fields().get("X-Request-Id");
        LOG.atInfo()
                .addKeyValue("id", exchange.id)
                .addKeyValue("request", requestId == null ? "" : requestId)
                .addKeyValue(
                        "tenant",
                        exchange.authorization == null
                                ? ""
                                : exchange.authorization.tenant().name())
                .addKeyValue(
                        "line",
                        exchange.authorization == null
                                ? 0
                                : exchange.authorization.decision().line())
                .addKeyValue("class", exchange.match.requestClass().name())
                .addKeyValue("object", Long.toHexString(exchange.match.object()))
                .addKeyValue("part", exchange.match.part())
                .addKeyValue("attempts", exchange.attemptDescriptions())
                .addKeyValue("final", exchange.completion())
                .addKeyValue("status", exchange.status())
                .addKeyValue("bytes", exchange.responseBytes)
                .addKeyValue("us", (nowNs - exchange.acceptedAtNs) / 1000)
                .log("answer");
    }
}
