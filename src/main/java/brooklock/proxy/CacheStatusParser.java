package brooklock.proxy;

import brooklock.http.Fields;
import brooklock.http.ResponseHead;
import brooklock.http.StatusFieldParser;
import brooklock.routing.AttemptOutcome;
import brooklock.routing.CacheStatus;
import java.util.List;
import java.util.Set;

/**
 * Derives the result of an attempt from the head of an endpoint's response. Stateless and
 * thread-safe.
 *
 * <p>Only the error names and parameters listed in {@code docs/protocol.md} prove that the request
 * was not executed. A head without them, or with unknown ones, proves nothing: treating it as proof
 * could repeat a request that was executed, such as placing an order twice.
 */
final class CacheStatusParser {
    // Errors of RFC 9209 which prove that the fill source executed nothing.
    private static final Set<String> SOURCE_NOT_REACHED_ERRORS =
            Set.of(
                    "connection_refused",
                    "connection_timeout",
                    "destination_ip_unroutable",
                    "dns_error",
                    "dns_timeout",
                    "destination_not_found");
    // Errors of RFC 9209 after which the fill source may have executed the request.
    private static final Set<String> SOURCE_ABORTED_ERRORS =
            Set.of(
                    "connection_terminated",
                    "connection_read_timeout",
                    "connection_write_timeout",
                    "http_response_incomplete",
                    "http_response_timeout",
                    "http_protocol_error");

    private CacheStatusParser() {}

    /** Parses the head of an endpoint's final response. */
    static UpstreamResult parse(ResponseHead head) {
        Fields fields = head.fields();
        long fillDurationNs = parseFillDurationNs(fields.get("Brooklock-Waited"));
        if (head.status() < 500) {
            return new UpstreamResult(
                    AttemptOutcome.OK, cacheStatusOfResponse(fields), fillDurationNs);
        }
        List<StatusFieldParser.Member> proxies =
                StatusFieldParser.parse(fields.combinedValue("Proxy-Status"));
        StatusFieldParser.Member nearest =
                proxies.isEmpty() ? null : proxies.get(proxies.size() - 1);
        String error = nearest == null ? null : nearest.parameters().get("error");
        if (error != null) {
            return parseNamedError(nearest, error, hasOriginFailed(proxies), fillDurationNs);
        }
        return head.status() == 504 && fields.get("Cache-Status") != null
                ? new UpstreamResult(
                        AttemptOutcome.CACHE_MISS, cacheStatusOfMiss(fields), fillDurationNs)
                : new UpstreamResult(AttemptOutcome.ERROR, CacheStatus.NONE, fillDurationNs);
    }

    // An endpoint reports an error of its fill source in a member of Proxy-Status. A second member
    // with an error means that the origin behind the fill source failed.
    private static boolean hasOriginFailed(List<StatusFieldParser.Member> proxies) {
        return proxies.stream().filter(proxy -> proxy.parameters().containsKey("error")).count()
                > 1;
    }

    private static UpstreamResult parseNamedError(
            StatusFieldParser.Member nearest,
            String error,
            boolean originFailed,
            long fillDurationNs) {
        if (error.equals("connection_limit_reached")) {
            boolean noFillCapacity = "fills".equals(nearest.parameters().get("details"));
            return new UpstreamResult(
                    AttemptOutcome.OVERLOADED,
                    noFillCapacity ? CacheStatus.NO_CAPACITY : CacheStatus.NONE,
                    fillDurationNs);
        }
        if (error.equals("destination_unavailable")) {
            return new UpstreamResult(
                    AttemptOutcome.OVERLOADED,
                    originFailed ? CacheStatus.ORIGIN_FAILED : CacheStatus.FILL_SOURCE_REJECTED,
                    fillDurationNs);
        }
        CacheStatus sourceFailure =
                originFailed ? CacheStatus.ORIGIN_FAILED : CacheStatus.FILL_SOURCE_CONNECTION_LOST;
        if (SOURCE_NOT_REACHED_ERRORS.contains(error)) {
            return new UpstreamResult(AttemptOutcome.OVERLOADED, sourceFailure, fillDurationNs);
        }
        if (SOURCE_ABORTED_ERRORS.contains(error)) {
            return new UpstreamResult(AttemptOutcome.ERROR, sourceFailure, fillDurationNs);
        }
        return new UpstreamResult(AttemptOutcome.ERROR, CacheStatus.NONE, fillDurationNs);
    }

    private static CacheStatus cacheStatusOfResponse(Fields fields) {
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
            // A peer filled the copy, so the result must not be attributed to the fill source that
            // the router named. The router has no separate status for this case; the access log
            // shows JOINED, as for a request that joined a fill in flight.
            return CacheStatus.COLLAPSED;
        }
        if (!nearest.parameters().containsKey("fwd")) {
            return CacheStatus.NONE;
        }
        return "origin".equals(nearest.parameters().get("detail"))
                ? CacheStatus.FILLED_BY_ORIGIN
                : CacheStatus.FILLED_BY_PARENT;
    }

    private static CacheStatus cacheStatusOfMiss(Fields fields) {
        StatusFieldParser.Member nearest =
                StatusFieldParser.nearestMember(fields.combinedValue("Cache-Status"));
        if (nearest == null) {
            return CacheStatus.NONE;
        }
        if (nearest.hasFlag("collapsed")) {
            return CacheStatus.COLLAPSED;
        }
        return "source-lacks".equals(nearest.parameters().get("detail"))
                ? CacheStatus.FILL_SOURCE_MISS
                : CacheStatus.NONE;
    }

    private static long parseFillDurationNs(String microseconds) {
        return microseconds != null && microseconds.matches("\\d{1,12}")
                ? Long.parseLong(microseconds) * 1000
                : 0;
    }
}
