package brooklock.platform;

/**
 * What has to be known of a class to check a client's request.
 *
 * @param index the router's index of the class
 * @param requiresIdempotencyKey whether each request carries an idempotency key
 * @param acceptsBody whether requests may carry a body
 * @param maxTimeoutMs longest that a client of the class waits, ms
 */
record RequestClassRules(
        int index, boolean requiresIdempotencyKey, boolean acceptsBody, long maxTimeoutMs) {}
