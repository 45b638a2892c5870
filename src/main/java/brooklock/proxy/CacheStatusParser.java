package brooklock.proxy;

import brooklock.http.Fields;
import brooklock.http.ResponseHead;
import brooklock.http.StatusFieldParser;
import brooklock.routing.AttemptOutcome;
import brooklock.routing.CacheStatus;
import java.util.List;
import java.util.Set;

/**
 * What a host's answer tells: how the attempt ended and, by Cache-Status and Proxy-Status, where
 * its bytes came from or why there are none. Only an answer that says so in the words of
 * docs/protocol.md proves that the request did not run.
 */
record CacheStatusParser(AttemptOutcome outcome, CacheStatus note, long sourceWaitNs) {
    // Errors of RFC 9209 after which nothing can have run at the source.
    private static final Set<String> SOURCE_NOT_REACHED_ERRORS =
            Set.of(
                    "connection_refused",
                    "connection_timeout",
                    "destination_ip_unroutable",
                    "dns_error",
                    "dns_timeout",
                    "destination_not_found");
    // ... and those after which it may have.
    private static final Set<String> SOURCE_ABORTED_ERRORS =
            Set.of(
                    "connection_terminated",
                    "connection_read_timeout",
                    "connection_write_timeout",
                    "http_response_incomplete",
                    "http_response_timeout",
                    "http_protocol_error");

    static CacheStatusParser parse(ResponseHead head) {
        Fields fields = head.fields();
        long waitNs = parseSourceWaitNs(fields.get("Brooklock-Waited"));
        List<StatusFieldParser.Member> proxies =
                StatusFieldParser.parse(fields.combinedValue("Proxy-Status"));
        StatusFieldParser.Member nearest =
                proxies.isEmpty() ? null : proxies.get(proxies.size() - 1);
        String error = nearest == null ? null : nearest.parameters().get("error");
        if (head.status() < 500) {
            return new CacheStatusParser(AttemptOutcome.OK, copyNote(fields), waitNs);
        }
        if (error == null) {
            return head.status() == 504 && fields.get("Cache-Status") != null
                    ? new CacheStatusParser(AttemptOutcome.CACHE_MISS, missNote(fields), waitNs)
                    : new CacheStatusParser(AttemptOutcome.ERROR, CacheStatus.NONE, waitNs);
        }
        boolean originFailed =
                proxies.stream().filter(proxy -> proxy.parameters().containsKey("error")).count()
                        > 1;
        if (error.equals("connection_limit_reached")) {
            boolean noFillCapacity = "fills".equals(nearest.parameters().get("details"));
            return new CacheStatusParser(
                    AttemptOutcome.OVERLOADED,
                    noFillCapacity ? CacheStatus.NO_CAPACITY : CacheStatus.NONE,
                    waitNs);
        }
        if (error.equals("destination_unavailable")) {
            return new CacheStatusParser(
                    AttemptOutcome.OVERLOADED,
                    originFailed ? CacheStatus.ORIGIN_FAILED : CacheStatus.FILL_SOURCE_REJECTED,
                    waitNs);
        }
        if (SOURCE_NOT_REACHED_ERRORS.contains(error)) {
            return new CacheStatusParser(
                    AttemptOutcome.OVERLOADED,
                    originFailed
                            ? CacheStatus.ORIGIN_FAILED
                            : CacheStatus.FILL_SOURCE_CONNECTION_LOST,
                    waitNs);
        }
        if (SOURCE_ABORTED_ERRORS.contains(error)) {
            return new CacheStatusParser(
                    AttemptOutcome.ERROR,
                    originFailed
                            ? CacheStatus.ORIGIN_FAILED
                            : CacheStatus.FILL_SOURCE_CONNECTION_LOST,
                    waitNs);
        }
        return new CacheStatusParser(AttemptOutcome.ERROR, CacheStatus.NONE, waitNs);
    }

    private static CacheStatus copyNote(Fields fields) {
        StatusFieldParser.Member nearest =
                StatusFieldParser.nearestMember(fields.combinedValue("Cache-Status"));
        if (nearest == null) {
            return CacheStatus.NONE;
        }
        if (nearest.hasFlag("hit")) {
            String ttl = nearest.parameters().get("ttl");
            return ttl != null && ttl.startsWith("-") ? CacheStatus.STALE : CacheStatus.HIT;
        }
        if (nearest.hasFlag("collapsed")) {
            return CacheStatus.COLLAPSED;
        }
        if ("neighbour".equals(nearest.parameters().get("detail"))) {
            // The source that the module named had no part in it.
            return CacheStatus.COLLAPSED;
        }
        if (!nearest.parameters().containsKey("fwd")) {
            return CacheStatus.NONE;
        }
        return "origin".equals(nearest.parameters().get("detail"))
                ? CacheStatus.FILLED_BY_ORIGIN
                : CacheStatus.FILLED_BY_PARENT;
    }

    private static CacheStatus missNote(Fields fields) {
        StatusFieldParser.Member nearest =
                StatusFieldParser.nearestMember(fields.combinedValue("Cache-Status"));
        return nearest == null
                ? CacheStatus.NONE
                : nearest.hasFlag("collapsed")
                        ? CacheStatus.COLLAPSED
                        : "source-lacks".equals(nearest.parameters().get("detail"))
                                ? CacheStatus.FILL_SOURCE_MISS
                                : CacheStatus.NONE;
    }

    private static long parseSourceWaitNs(String microseconds) {
        return microseconds != null && microseconds.matches("\\d{1,12}")
                ? Long.parseLong(microseconds) * 1000
                : 0;
    }
}
