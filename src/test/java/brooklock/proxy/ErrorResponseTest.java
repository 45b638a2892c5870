package brooklock.proxy;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import brooklock.authorization.TenantLimiter;
import brooklock.http.Fields;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Tests the exact response for each reason.
 *
 * <p>Clients decide by status and Proxy-Status whether a retry is harmless, and operators search
 * logs for the words. A wrong status or text could make clients repeat requests that must not be
 * repeated.
 */
class ErrorResponseTest {
    private static final String TABLE =
            """
            # reason | status | Proxy-Status | body | access log | counted as full
            UNKNOWN_EXPECTATION | 417 | - | only 100-continue can be expected | - | no
            FORWARDING_LOOP | 508 | - | the request has been here before | - | no
            MISSING_IDEMPOTENCY_KEY | 400 | - | this needs an Idempotency-Key | - | no
            NO_ROUTE | 404 | - | no route fits this path | - | no
            METHOD_NOT_ALLOWED | 405 | - | this path is not asked so | - | no
            INVALID_PART | 404 | - | a part is a number | - | no
            SHUTTING_DOWN | 503 | connection_limit_reached | this dispatcher is ending | - | no
            OPEN_REQUEST_LIMIT | 503 | connection_limit_reached | too many requests at work | - | yes
            BODY_LIMIT | 503 | connection_limit_reached | too many request bodies at work | - | yes
            ROUTING_QUEUE_LIMIT | 503 | connection_limit_reached | decisions are full | - | no
            TOKEN_VERIFICATION_LIMIT | 503 | connection_limit_reached | too many new tokens wait to be checked | - | yes
            MALFORMED_PATH | 400 | - | the path is not in form: | - | no
            UNAUTHENTICATED | 401 | - | not for you | - | no
            FORBIDDEN | 403 | - | not for you | - | no
            TENANT_RATE | 429 | http_request_denied; details="tenant rate" | not done; the tenant's part is used up | held back | no
            TENANT_CONCURRENCY | 429 | http_request_denied; details="tenant concurrent" | not done; the tenant's part is used up | held back | no
            TENANT_BYTES | 429 | http_request_denied; details="tenant bytes" | not done; the tenant's part is used up | held back | no
            TENANT_SHARE | 503 | http_request_denied; details="tenant share" | not done; the tenant's part is used up | held back | no
            REJECTED | 503 | destination_unavailable | not done; trying again is harmless | refused | no
            FAILED | 502 | connection_terminated | failed; it may have been done | failed | no
            FAILED_WITH_OPEN_ATTEMPT | 504 | http_response_timeout | failed; it may have been done | failed | no
            """;

    private static List<String[]> rows() {
        return TABLE.lines()
                .filter(line -> !line.startsWith("#"))
                .map(line -> line.split(" \\| "))
                .toList();
    }

    @Test
    void everyReasonHasItsStatusAndTexts() {
        for (String[] row : rows()) {
            ErrorResponse response = ErrorResponse.valueOf(row[0]);
            assertEquals(Integer.parseInt(row[1]), response.status(), row[0]);
            assertEquals(row[2], response.proxyError().orElse("-"), row[0]);
            assertEquals(row[3], response.text().strip(), row[0]);
            assertEquals(
                    response.text() + "\n",
                    new String(response.body(), StandardCharsets.UTF_8),
                    row[0]);
            assertEquals(
                    row[4], response.completion().map(Completion::logWord).orElse("-"), row[0]);
            assertEquals(row[5].equals("yes"), response.countsAsOverload(), row[0]);
        }
    }

    @Test
    void tableContainsEveryReason() {
        Set<ErrorResponse> listed =
                rows().stream()
                        .map(row -> ErrorResponse.valueOf(row[0]))
                        .collect(Collectors.toSet());
        assertEquals(EnumSet.allOf(ErrorResponse.class), listed);
    }

    @Test
    void everyTenantLimitReasonHasAResponseWithItsStatus() {
        for (TenantLimiter.Reason reason : TenantLimiter.Reason.values()) {
            if (reason == TenantLimiter.Reason.ADMITTED) {
                assertThrows(IllegalArgumentException.class, () -> ErrorResponse.of(reason));
            } else {
                assertEquals(reason.httpStatus(), ErrorResponse.of(reason).status(), "" + reason);
            }
        }
    }

    private static List<String> lines(Fields fields) {
        return fields.toString().lines().toList();
    }

    @ParameterizedTest
    @EnumSource(
            value = ErrorResponse.class,
            names = {
                "SHUTTING_DOWN",
                "OPEN_REQUEST_LIMIT",
                "BODY_LIMIT",
                "ROUTING_QUEUE_LIMIT",
                "TOKEN_VERIFICATION_LIMIT"
            })
    void limitsAreRejectedWithRetryAfter(ErrorResponse response) {
        assertEquals(
                List.of(
                        "Content-Type: text/plain; charset=utf-8",
                        "Cache-Control: no-store",
                        "Retry-After: 1",
                        "Proxy-Status: d1; error=connection_limit_reached"),
                lines(response.fieldsBeforeAdmission("d1")));
    }

    @ParameterizedTest
    @EnumSource(
            value = ErrorResponse.class,
            names = {
                "UNKNOWN_EXPECTATION",
                "FORWARDING_LOOP",
                "MISSING_IDEMPOTENCY_KEY",
                "NO_ROUTE",
                "METHOD_NOT_ALLOWED",
                "INVALID_PART",
                "MALFORMED_PATH",
                "FORBIDDEN"
            })
    void permanentRejectionsHaveNoRetryAfter(ErrorResponse response) {
        assertEquals(
                List.of("Content-Type: text/plain; charset=utf-8", "Cache-Control: no-store"),
                lines(response.fieldsBeforeAdmission("d1")));
    }

    @Test
    void unauthenticatedResponseNamesTheBearerScheme() {
        assertEquals(
                List.of(
                        "Content-Type: text/plain; charset=utf-8",
                        "Cache-Control: no-store",
                        "WWW-Authenticate: Bearer"),
                lines(ErrorResponse.UNAUTHENTICATED.fieldsBeforeAdmission("d1")));
    }

    @Test
    void malformedPathResponseStatesTheViolation() {
        assertArrayEquals(
                "the path is not in form: a dot segment\n".getBytes(StandardCharsets.UTF_8),
                ErrorResponse.MALFORMED_PATH.body("a dot segment"));
    }

    @ParameterizedTest
    @CsvSource({
        // reason, retry after (ns), Retry-After (s), Brooklock-Retry-After (us)
        "REJECTED, 1, 1, 0",
        "REJECTED, 1000000000, 1, 1000000",
        "REJECTED, 1000000001, 2, 1000000",
        "REJECTED, 2500000, 1, 2500",
        "TENANT_RATE, 0, 1, 0",
        "TENANT_CONCURRENCY, 500000000, 1, 500000",
        "TENANT_BYTES, 3000000001, 4, 3000000",
        "TENANT_SHARE, 1, 1, 0"
    })
    void retryAfterIsRoundedUpToSecondsAndStatedInMicroseconds(
            ErrorResponse response, long retryAfterNs, String seconds, String microseconds) {
        assertEquals(
                List.of(
                        "Retry-After: " + seconds,
                        "Brooklock-Retry-After: " + microseconds,
                        "Proxy-Status: d1; error=" + response.proxyError().orElseThrow(),
                        "Cache-Control: no-store",
                        "Content-Type: text/plain; charset=utf-8"),
                lines(response.fieldsAfterAdmission("d1", retryAfterNs)));
    }

    @ParameterizedTest
    @EnumSource(
            value = ErrorResponse.class,
            names = {"REJECTED", "FAILED", "FAILED_WITH_OPEN_ATTEMPT"})
    void routerResponsesHaveNoRetryAfterWithoutATime(ErrorResponse response) {
        assertEquals(
                List.of(
                        "Proxy-Status: d1; error=" + response.proxyError().orElseThrow(),
                        "Cache-Control: no-store",
                        "Content-Type: text/plain; charset=utf-8"),
                lines(response.fieldsAfterAdmission("d1", 0)));
    }

    @Test
    void completionWordsAreStableAndSorted() {
        List<String> words = Arrays.stream(Completion.values()).map(Completion::logWord).toList();
        assertEquals(
                List.of(
                        "broken by host",
                        "client left",
                        "deadline within the answer",
                        "failed",
                        "held back",
                        "refused",
                        "served"),
                words);
        assertEquals(words.stream().sorted().toList(), words);
    }
}
