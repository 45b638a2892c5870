package brooklock.warming;

import com.dynatrace.hash4j.hashing.Hashing;

/** Computes well-distributed hashes that are the same in every run of the program. */
final class StableHash {
    private StableHash() {}

    /** Returns the hash of a number. */
    static long hash(long value) {
        return Hashing.komihash5_0().hashStream().putLong(value).getAsLong();
    }

    /** Returns the hash of a name and two numbers. */
    static long hash(String name, long first, long second) {
        return Hashing.komihash5_0()
                .hashStream()
                .putString(name)
                .putLong(first)
                .putLong(second)
                .getAsLong();
    }

    /** Maps a hash to a number from 0 (inclusive) to 1 (exclusive). */
    static double toUnitInterval(long hash) {
        return (hash >>> 11) * 0x1p-53;
    }
}
