package brooklock.platform;

/**
 * A client's request, checked by {@link ClientRequestParser}. Immutable.
 *
 * @param id the request's id; new with every request, also with a client's retry
 * @param classIndex the router's index of its class
 * @param className the name of its class
 * @param objectHex the object, as 16 hexadecimal digits
 * @param part the part of the object, from 0
 * @param group the purge group of the object
 * @param sizeKb size of the part in KB, as the router counts it; 0 if not known
 * @param timeoutMs how long the client waits, ms
 * @param clientRetry whether the client says that it repeats a request
 * @param idempotencyKey the idempotency key; null where the class has none
 * @param etag the entity tag of the client's copy; null if it holds none
 * @param body the bytes to be written; empty if there are none
 */
@SuppressWarnings("ArrayRecordComponent") // Never compared; a copy of each body would be wasted.
record ClientRequest(
        long id,
        int classIndex,
        String className,
        String objectHex,
        int part,
        int group,
        double sizeKb,
        int timeoutMs,
        boolean clientRetry,
        String idempotencyKey,
        String etag,
        byte[] body) {
    /** Returns the object as a number. */
    long objectId() {
        return Long.parseUnsignedLong(objectHex, 16);
    }
}
