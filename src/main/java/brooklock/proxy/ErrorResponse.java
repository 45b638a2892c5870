package brooklock.proxy;

import brooklock.authorization.TenantLimiter;
import brooklock.http.Fields;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Every response that this package makes itself, with its status, its body and its words. What is
 * no complete HTTP request or too large, or comes on one connection too many, is answered by {@code
 * brooklock.net}.
 *
 * <p>This is the one table from a reason to what a client gets. The words belong to {@code
 * docs/operating.md}: clients and dashboards compare them, so they stay when names in the code
 * change. A request that has not been admitted has no attempt, no entry in the access log and no
 * event for the router. One over its tenant's limits has an entry only. One that the router gave up
 * has an entry and an event, and attempts unless it was rejected before the first.
 */
enum ErrorResponse {
    // ---- Not admitted: the request is malformed or fits no route.

    /** An Expect field other than {@code 100-continue}. */
    UNKNOWN_EXPECTATION(417, "only 100-continue can be expected"),
    /** The Via field names this dispatcher: forwarding it again would never end. */
    FORWARDING_LOOP(508, "the request has been here before"),
    /** The class needs an idempotency key and the route names no class for requests without. */
    MISSING_IDEMPOTENCY_KEY(400, "this needs an Idempotency-Key"),
    /** No route matches the path. */
    NO_ROUTE(404, "no route fits this path"),
    /** Routes match the path, none of them the method. */
    METHOD_NOT_ALLOWED(405, "this path is not asked so"),
    /** The part in the path is not a number. */
    INVALID_PART(404, "a part is a number"),

    // ---- Not admitted: a limit is reached. Nothing was done, so a retry is harmless.

    /** The dispatcher is shutting down. */
    SHUTTING_DOWN(503, Words.LIMIT_REACHED, "this dispatcher is ending"),
    /** The limit of open requests is reached. */
    OPEN_REQUEST_LIMIT(503, Words.LIMIT_REACHED, "too many requests at work"),
    /** The limit of bytes reserved for request bodies is reached. */
    BODY_LIMIT(503, Words.LIMIT_REACHED, "too many request bodies at work"),
    /** The routing thread's queue is more than half full. */
    ROUTING_QUEUE_LIMIT(503, Words.LIMIT_REACHED, "decisions are full"),
    /** Too many tokens wait for their signature to be verified. */
    TOKEN_VERIFICATION_LIMIT(503, Words.LIMIT_REACHED, "too many new tokens wait to be checked"),

    // ---- Not admitted: not authorized. Which rule denied it stands in the audit log only.

    /** A path with two readings; the body says which form is wrong. */
    MALFORMED_PATH(400, "the path is not in form: "),
    /** No credential, or an invalid one. */
    UNAUTHENTICATED(401, Words.NOT_FOR_YOU),
    /** A valid credential that the policy does not allow this. */
    FORBIDDEN(403, Words.NOT_FOR_YOU),

    // ---- Admitted to the tenant's limits and over one of them. Nothing was done.

    /** Over the tenant's requests a second. */
    TENANT_RATE(429, Words.TENANT + "rate\"", Words.TENANT_LIMIT, Completion.RATE_LIMITED),
    /** Over the tenant's requests in flight. */
    TENANT_CONCURRENCY(
            429, Words.TENANT + "concurrent\"", Words.TENANT_LIMIT, Completion.RATE_LIMITED),
    /** Over the tenant's bytes a second. */
    TENANT_BYTES(429, Words.TENANT + "bytes\"", Words.TENANT_LIMIT, Completion.RATE_LIMITED),
    /** Over the tenant's fair share while the dispatcher is overloaded. */
    TENANT_SHARE(503, Words.TENANT + "share\"", Words.TENANT_LIMIT, Completion.RATE_LIMITED),

    // ---- Admitted, and the router gave up.

    /**
     * The router rejected it: a retry by the client is harmless. The text says more than that: an
     * attempt of an idempotent request, or of one whose key all endpoints share, may have been
     * executed.
     */
    REJECTED(
            503,
            "destination_unavailable",
            "not done; trying again is harmless",
            Completion.REJECTED),
    /** The router gave up and no attempt is open; it may have been executed. */
    FAILED(502, "connection_terminated", Words.MAY_BE_DONE, Completion.FAILED),
    /** The router gave up while an attempt was still open; it may have been executed. */
    FAILED_WITH_OPEN_ATTEMPT(504, "http_response_timeout", Words.MAY_BE_DONE, Completion.FAILED);

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

    /** Returns what stands in the body, without the end of line. */
    String text() {
        return text;
    }

    /** Returns the body. */
    byte[] body() {
        return body("");
    }

    /**
     * Returns the body with a detail behind its text.
     *
     * @param detail what is wrong, or an empty string
     */
    byte[] body(String detail) {
        return (text + detail + "\n").getBytes(StandardCharsets.UTF_8);
    }

    /** Returns the value of {@code error} in Proxy-Status with its parameters, if there is one. */
    Optional<String> proxyError() {
        return Optional.ofNullable(proxyError);
    }

    /** Returns how the access log and the counters name it; empty for what was not admitted. */
    Optional<Completion> completion() {
        return Optional.ofNullable(completion);
    }

    /**
     * Returns whether it is counted as {@code full} on the state page. {@link #ROUTING_QUEUE_LIMIT}
     * is not: the routing thread counts it as {@code decision-overflows}. {@link #SHUTTING_DOWN} is
     * no sign of load.
     */
    boolean countsAsOverload() {
        return this == OPEN_REQUEST_LIMIT || this == BODY_LIMIT || this == TOKEN_VERIFICATION_LIMIT;
    }

    /** Returns the response to a request over one of its tenant's limits. */
    static ErrorResponse of(TenantLimiter.Reason reason) {
        return switch (reason) {
            case RATE -> TENANT_RATE;
            case CONCURRENT -> TENANT_CONCURRENCY;
            case BYTES -> TENANT_BYTES;
            case SHARE -> TENANT_SHARE;
            case ADMITTED -> throw new IllegalArgumentException("not a rejection: " + reason);
        };
    }

    /**
     * Returns the fields of a response to a request that was not admitted.
     *
     * @param dispatcherName who speaks in Proxy-Status
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
     * @param dispatcherName who speaks in Proxy-Status
     * @param retryAfterNs when the client may retry, ns; 0 says nothing, except to a tenant over
     *     its limits, who gets a second at least
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

    /** Words that several responses share. */
    private static final class Words {
        static final String LIMIT_REACHED = "connection_limit_reached";
        static final String NOT_FOR_YOU = "not for you";
        static final String TENANT = "http_request_denied; details=\"tenant ";
        static final String TENANT_LIMIT = "not done; the tenant's part is used up";
        static final String MAY_BE_DONE = "failed; it may have been done";

        private Words() {}
    }
}
