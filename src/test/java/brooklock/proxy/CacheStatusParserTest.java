package brooklock.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import brooklock.http.Fields;
import brooklock.http.ResponseHead;
import brooklock.routing.AttemptOutcome;
import brooklock.routing.CacheStatus;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests which outcome the head of a response proves.
 *
 * <p>After an outcome that guarantees that nothing was executed, the dispatcher may send an order
 * again. If the parser assumes this without proof, an order may be placed twice; if it ignores a
 * proof, an order may be lost.
 */
class CacheStatusParserTest {
    private static UpstreamResult parse(int status, String field, String value) {
        Fields fields = new Fields();
        if (value != null) {
            fields.add(field, value);
        }
        return CacheStatusParser.parse(new ResponseHead(status, fields));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "c1; hit | HIT",
                "c1; hit; ttl=-3 | STALE",
                "c1; hit; ttl=3 | HIT",
                "c1; fwd=miss | FILLED_BY_PARENT",
                "c1; fwd=miss; detail=origin | FILLED_BY_ORIGIN",
                "c1; fwd=miss; collapsed | COLLAPSED",
                "c1; fwd=miss; detail=neighbour | COLLAPSED",
                "p1; hit, c1; fwd=miss | FILLED_BY_PARENT",
                "c1 | NONE",
                "; hit | NONE"
            })
    void statusBelow500IsOkWithTheCacheStatusOfTheLastMember(String value, CacheStatus expected) {
        assertEquals(
                new UpstreamResult(AttemptOutcome.OK, expected, 0),
                parse(200, "Cache-Status", value));
        assertEquals(
                new UpstreamResult(AttemptOutcome.OK, expected, 0),
                parse(404, "Cache-Status", value));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "c1; fwd=miss | CACHE_MISS | NONE",
                "c1; fwd=miss; detail=source-lacks | CACHE_MISS | FILL_SOURCE_MISS",
                "c1; fwd=miss; collapsed | CACHE_MISS | COLLAPSED"
            })
    void status504WithCacheStatusAndNoProxyStatusIsAMiss(
            String value, AttemptOutcome outcome, CacheStatus cacheStatus) {
        assertEquals(
                new UpstreamResult(outcome, cacheStatus, 0), parse(504, "Cache-Status", value));
        assertEquals(
                new UpstreamResult(AttemptOutcome.ERROR, CacheStatus.NONE, 0),
                parse(502, "Cache-Status", value));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "c1; error=connection_limit_reached | OVERLOADED | NONE",
                "c1; error=connection_limit_reached; details=\"fills\" | OVERLOADED | NO_CAPACITY",
                "c1; error=destination_unavailable | OVERLOADED | FILL_SOURCE_REJECTED",
                "o1; error=connection_terminated, c1; error=destination_unavailable"
                        + " | OVERLOADED | ORIGIN_FAILED",
                "c1; error=connection_refused | OVERLOADED | FILL_SOURCE_CONNECTION_LOST",
                "c1; error=connection_timeout | OVERLOADED | FILL_SOURCE_CONNECTION_LOST",
                "c1; error=destination_ip_unroutable | OVERLOADED | FILL_SOURCE_CONNECTION_LOST",
                "c1; error=destination_not_found | OVERLOADED | FILL_SOURCE_CONNECTION_LOST",
                "c1; error=dns_error | OVERLOADED | FILL_SOURCE_CONNECTION_LOST",
                "c1; error=dns_timeout | OVERLOADED | FILL_SOURCE_CONNECTION_LOST",
                "o1; error=dns_error, c1; error=connection_refused | OVERLOADED | ORIGIN_FAILED",
                "c1; error=connection_terminated | ERROR | FILL_SOURCE_CONNECTION_LOST",
                "c1; error=connection_read_timeout | ERROR | FILL_SOURCE_CONNECTION_LOST",
                "c1; error=connection_write_timeout | ERROR | FILL_SOURCE_CONNECTION_LOST",
                "c1; error=http_response_incomplete | ERROR | FILL_SOURCE_CONNECTION_LOST",
                "c1; error=http_response_timeout | ERROR | FILL_SOURCE_CONNECTION_LOST",
                "c1; error=http_protocol_error | ERROR | FILL_SOURCE_CONNECTION_LOST",
                "o1; error=dns_error, c1; error=connection_terminated | ERROR | ORIGIN_FAILED",
                "c1; error=proxy_internal_error | ERROR | NONE",
                "c1 | ERROR | NONE",
                "c1; error=\"connection_refused | ERROR | NONE"
            })
    void status500AndAboveIsClassifiedByTheErrorOfTheLastMember(
            String value, AttemptOutcome outcome, CacheStatus cacheStatus) {
        for (int status : new int[] {500, 502, 503, 504}) {
            assertEquals(
                    new UpstreamResult(outcome, cacheStatus, 0),
                    parse(status, "Proxy-Status", value));
        }
    }

    @Test
    void failureWithoutAnErrorNameProvesNothing() {
        assertEquals(
                new UpstreamResult(AttemptOutcome.ERROR, CacheStatus.NONE, 0),
                parse(503, "Proxy-Status", null));
        assertEquals(
                new UpstreamResult(AttemptOutcome.ERROR, CacheStatus.NONE, 0),
                parse(504, "Proxy-Status", null));
    }

    @ParameterizedTest
    @CsvSource({"1500, 1500000", "0, 0", "-1, 0", "1.5, 0", "1234567890123, 0"})
    void fillDurationIsParsedInMicroseconds(String value, long expectedNs) {
        assertEquals(expectedNs, parse(200, "Brooklock-Waited", value).fillDurationNs());
    }
}
