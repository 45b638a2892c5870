package brooklock.proxy;

import brooklock.authorization.TenantLimiter;
import brooklock.http.Fields;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * The responses that this package generates itself, each with its status, body and Proxy-Status
 * error. Package {@code brooklock.net} responds to malformed or oversized HTTP requests and to
 * connections over the limit.
 *
 * <p>This enum is the only mapping from a reason to the response that a client receives. {@code
 * docs/operating.md} documents the texts, and clients and dashboards compare them, so they must not
 * change when a constant is renamed. A request that was not admitted has no attempt, no access log
 * entry and no router event. A request over its tenant's limits has an access log entry only. A
 * request that the router failed or rejected has an entry and an event, and attempts unless it was
 * rejected before its first attempt.
 */
enum ErrorResponse {
    // ---- Not admitted: the request is malformed or matches no route.

    /** The Expect field has a value other than {@code 100-continue}. */
    UNKNOWN_EXPECTATION(417, "only 100-continue can be expected"),
    /** The Via field names this dispatcher, so forwarding the request would create a loop. */
    FORWARDING_LOOP(508, "the request has been here before"),
    /**
     * The request has no idempotency key; its class requires one and the route names no class for
     * requests without a key.
     */
    MISSING_IDEMPOTENCY_KEY(400, "this needs an Idempotency-Key"),
    /** No route matches the path. */
    NO_ROUTE(404, "no route fits this path"),
    /** Routes match the path, but none of them accepts the method. */
    METHOD_NOT_ALLOWED(405, "this path is not asked so"),
    /** The part of the object in the path is not a number of at most 9 digits. */
    INVALID_PART(404, "a part is a number"),

    // ---- Not admitted: a limit is reached. Nothing was executed, so a retry is harmless.

    /** The dispatcher is shutting down. */
    SHUTTING_DOWN(503, SharedTexts.LIMIT_REACHED_ERROR, "this dispatcher is ending"),
    /** The limit of open requests is reached. */
    OPEN_REQUEST_LIMIT(503, SharedTexts.LIMIT_REACHED_ERROR, "too many requests at work"),
    /** The limit of bytes reserved for request bodies is reached. */
    BODY_LIMIT(503, SharedTexts.LIMIT_REACHED_ERROR, "too many request bodies at work"),
    /** The routing thread's queue is more than half full. */
    ROUTING_QUEUE_LIMIT(503, SharedTexts.LIMIT_REACHED_ERROR, "decisions are full"),
    /** Too many tokens wait for their signature to be verified. */
    TOKEN_VERIFICATION_LIMIT(
            503, SharedTexts.LIMIT_REACHED_ERROR, "too many new tokens wait to be checked"),

    // ---- Not admitted: not authorized. Only the audit log states which rule denied the request.

    /** The path has a form that servers interpret differently; the body states which one. */
    MALFORMED_PATH(400, "the path is not in form: "),
    /** The request has no credential or an invalid one. */
    UNAUTHENTICATED(401, SharedTexts.NOT_AUTHORIZED),
    /** The credential is valid, but the policy does not allow the request. */
    FORBIDDEN(403, SharedTexts.NOT_AUTHORIZED),

    // ---- Over one of the tenant's limits. Nothing was executed.

    /** The tenant's limit of requests per second is reached. */
    TENANT_RATE(
            429,
            SharedTexts.TENANT_LIMIT_ERROR_PREFIX + "rate\"",
            SharedTexts.TENANT_LIMIT_REACHED,
            Completion.RATE_LIMITED),
    /** The tenant's limit of requests in flight is reached. */
    TENANT_CONCURRENCY(
            429,
            SharedTexts.TENANT_LIMIT_ERROR_PREFIX + "concurrent\"",
            SharedTexts.TENANT_LIMIT_REACHED,
            Completion.RATE_LIMITED),
    /** The tenant's limit of bytes per second is reached. */
    TENANT_BYTES(
            429,
            SharedTexts.TENANT_LIMIT_ERROR_PREFIX + "bytes\"",
            SharedTexts.TENANT_LIMIT_REACHED,
            Completion.RATE_LIMITED),
    /** The tenant exceeds its fair share while the dispatcher is overloaded. */
    TENANT_SHARE(
            503,
            SharedTexts.TENANT_LIMIT_ERROR_PREFIX + "share\"",
            SharedTexts.TENANT_LIMIT_REACHED,
            Completion.RATE_LIMITED),

    // ---- Admitted, then rejected or failed by the router.

    /**
     * The router rejected the request; a retry by the client is harmless. Contrary to its text, the
     * response does not prove that nothing was executed: an attempt of an idempotent request, or of
     * a request whose idempotency key all endpoints share, may have been executed.
     */
    REJECTED(
            503,
            "destination_unavailable",
            "not done; trying again is harmless",
            Completion.REJECTED),
    /** The router failed the request and no attempt is open; the request may have been executed. */
    FAILED(502, "connection_terminated", SharedTexts.MAY_HAVE_BEEN_EXECUTED, Completion.FAILED),
    /**
     * The router failed the request while an attempt was open; the request may have been executed.
     */
    FAILED_WITH_OPEN_ATTEMPT(
            504, "http_response_timeout", SharedTexts.MAY_HAVE_BEEN_EXECUTED, Completion.FAILED);

    private static final String PLAIN_TEXT = "text/plain; charset=utf-8";
    private static final long NS_PER_SECOND = 1_000_000_000L;

    private final int status;
    private final String proxyError;
    private final String text;
    private final Completion completion;

    ErrorResponse(int status, String text) {
        this(status, null, text);
    }

    ErrorResponse(int status, String proxyError, String text) {
        this(status, proxyError, text, null);
    }

    ErrorResponse(int status, String proxyError, String text, Completion completion) {
        this.status = status;
        this.proxyError = proxyError;
        this.text = text;
        this.completion = completion;
    }

    /** Returns the HTTP status. */
    int status() {
        return status;
    }

    /** Returns the text of the body, without the line terminator. */
    String text() {
        return text;
    }

    /** Returns the body. */
    byte[] body() {
        return body("");
    }

    /**
     * Returns the body with a detail appended to its text.
     *
     * @param detail a description of the error, or an empty string
     */
    byte[] body(String detail) {
        return (text + detail + "\n").getBytes(StandardCharsets.UTF_8);
    }

    /**
     * Returns the value of {@code error} in Proxy-Status, followed by its parameters, if there is
     * one.
     */
    Optional<String> proxyError() {
        return Optional.ofNullable(proxyError);
    }

    /**
     * Returns the completion for the access log and the counters; empty for a response to a request
     * that was not admitted.
     */
    Optional<Completion> completion() {
        return Optional.ofNullable(completion);
    }

    /**
     * Returns whether the response counts as {@code full} on the state page. {@link
     * #ROUTING_QUEUE_LIMIT} does not, because the routing thread counts it as {@code
     * decision-overflows}. {@link #SHUTTING_DOWN} does not, because it does not indicate load.
     */
    boolean countsAsOverload() {
        return this == OPEN_REQUEST_LIMIT || this == BODY_LIMIT || this == TOKEN_VERIFICATION_LIMIT;
    }

    /**
     * Returns the response to a request over one of its tenant's limits.
     *
     * @throws IllegalArgumentException if the reason is {@code ADMITTED}
     */
    static ErrorResponse of(TenantLimiter.Reason reason) {
        return switch (reason) {
            case RATE -> TENANT_RATE;
            case CONCURRENT -> TENANT_CONCURRENCY;
            case BYTES -> TENANT_BYTES;
            case SHARE -> TENANT_SHARE;
            case ADMITTED ->
                    throw new IllegalArgumentException(
                            "expected the reason of a rejection but received " + reason);
        };
    }

    /**
     * Returns the fields of a response to a request that was not admitted.
     *
     * @param dispatcherName the name of this dispatcher, for Proxy-Status
     */
    Fields fieldsBeforeAdmission(String dispatcherName) {
        Fields fields =
                new Fields().add("Content-Type", PLAIN_TEXT).add("Cache-Control", "no-store");
        if (this == UNAUTHENTICATED) {
            fields.add("WWW-Authenticate", "Bearer");
        }
        if (proxyError != null) {
            fields.add("Retry-After", "1")
                    .add("Proxy-Status", dispatcherName + "; error=" + proxyError);
        }
        return fields;
    }

    /**
     * Returns the fields of a response to a request that was admitted.
     *
     * @param dispatcherName the name of this dispatcher, for Proxy-Status
     * @param retryAfterNs the time after which the client may retry, in ns; 0 adds no Retry-After
     *     field, except for a request over its tenant's limits, whose Retry-After is at least one
     *     second
     */
    Fields fieldsAfterAdmission(String dispatcherName, long retryAfterNs) {
        Fields fields = new Fields();
        if (completion == Completion.RATE_LIMITED || retryAfterNs > 0) {
            long seconds = (retryAfterNs + NS_PER_SECOND - 1) / NS_PER_SECOND;
            fields.add("Retry-After", Long.toString(Math.max(1, seconds)))
                    .add("Brooklock-Retry-After", Long.toString(retryAfterNs / 1000));
        }
        return fields.add("Proxy-Status", dispatcherName + "; error=" + proxyError)
                .add("Cache-Control", "no-store")
                .add("Content-Type", PLAIN_TEXT);
    }

    /** The texts that several responses share. */
    private static final class SharedTexts {
        static final String LIMIT_REACHED_ERROR = "connection_limit_reached";
        static final String NOT_AUTHORIZED = "not for you";
        static final String TENANT_LIMIT_ERROR_PREFIX = "http_request_denied; details=\"tenant ";
        static final String TENANT_LIMIT_REACHED = "not done; the tenant's part is used up";
        static final String MAY_HAVE_BEEN_EXECUTED = "failed; it may have been done";

        private SharedTexts() {}
    }
}
