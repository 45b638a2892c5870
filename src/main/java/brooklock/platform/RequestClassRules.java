package brooklock.platform;

/**
 * The rules of a request class by which clients' requests are validated. Immutable.
 *
 * @param index the router's index of the class
 * @param requiresIdempotencyKey whether each request must have an idempotency key
 * @param idempotent whether a request may be executed more than once
 * @param idempotencyWindowNs how long endpoints remember an idempotency key, ns
 * @param acceptsBody whether requests may have a body
 * @param maxTimeoutMs the longest time for which a client may wait for a response, ms
 */
record RequestClassRules(
        int index,
        boolean requiresIdempotencyKey,
        boolean idempotent,
        long idempotencyWindowNs,
        boolean acceptsBody,
        long maxTimeoutMs) {}
