package brooklock.testserver;

/**
 * A copy of one part of an object.
 *
 * @param serial serial number assigned by the origin, also sent as the entity tag
 * @param createdNs time at which the origin created the copy, by {@link System#nanoTime}; on a
 *     server that received the copy from another server, an estimate that is never later than the
 *     actual time
 * @param group the object's purge group
 */
@SuppressWarnings("ArrayRecordComponent") // Copies are never compared.
record CachedCopy(Key key, long serial, long createdNs, int group, byte[] content) {
    /** Identifies a part of an object. */
    record Key(long object, int part) {}
}
