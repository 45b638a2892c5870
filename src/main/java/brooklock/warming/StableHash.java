package brooklock.warming;

import com.dynatrace.hash4j.hashing.Hashing;

/** Numbers that look like chance and are the same each time. */
final class StableHash {
    private StableHash() {}

    static long hash(long x) {
        return Hashing.komihash5_0().hashStream().putLong(x).getAsLong();
    }

    static long hash(String name, long x, long y) {
        return Hashing.komihash5_0().hashStream().putString(name).putLong(x).putLong(y).getAsLong();
    }

    /** From 0 up to 1. */
    static double toUnitInterval(long x) {
        return (x >>> 11) * 0x1p-53;
    }
}
