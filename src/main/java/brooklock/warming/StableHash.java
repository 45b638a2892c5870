package brooklock.warming;

import com.dynatrace.hash4j.hashing.Hashing;

/** Hashes that look random and are the same at each run. */
final class StableHash {
    private StableHash() {}

    static long hash(long value) {
        return Hashing.komihash5_0().hashStream().putLong(value).getAsLong();
    }

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
