package brooklock.testserver;

/**
 * A copy of one part of an object.
 *
 * @param serial number that the origin gave it, also its entity tag
 * @param bornNs when the origin created it, as far as its holder can know: never later than it was
 * @param group its purge group
 */
@SuppressWarnings("ArrayRecordComponent") // Copies are never compared.
record CachedCopy(Key key, long serial, long bornNs, int group, byte[] content) {
    /** Which part of which object. */
    record Key(long object, int part) {}
}
