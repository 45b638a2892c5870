package brooklock.platform;

/**
 * A client's request, validated by {@link ClientRequestParser}. Immutable; the body must not be
 * modified.
 *
 * @param id the id of the request; a retry by the client has a new id
 * @param rules the rules of the request class
 * @param className the name of the request class
 * @param objectHex the id of the object, 16 hexadecimal digits
 * @param part the index of the object's part, from 0
 * @param group the purge group of the object
 * @param sizeKb the size of the part, KB; 0 if unknown
 * @param timeoutMs the time for which the client waits for the response, ms
 * @param clientRetry whether the client marked the request as a retry
 * @param idempotencyKey the idempotency key; null if the class does not require one
 * @param etag the entity tag of the client's copy; null if the client has none
 * @param body the body that the request writes; empty if it has none
 */
@SuppressWarnings("ArrayRecordComponent") // Never compared; not copied, to save memory.
record ClientRequest(
        long id,
        RequestClassRules rules,
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
    /** Returns the id of the object as an unsigned number. */
    long objectId() {
        return Long.parseUnsignedLong(objectHex, 16);
    }
}
