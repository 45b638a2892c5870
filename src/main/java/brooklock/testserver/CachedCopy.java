package brooklock.testserver;

/**
 * A copy of one part.
 *
 * @param serial number that the origin gave it, also its entity tag
 * @param bornNs when the origin gave it out, as its holder may believe: never later than it was
 * @param group its purge group
 */
record CachedCopy(Key key, long serial, long bornNs, int group, byte[] content) {
    /** Which part of which object. */
    record Key(long object, int part) {}
}
