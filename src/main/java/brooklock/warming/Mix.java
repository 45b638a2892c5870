package brooklock.warming;

import com.dynatrace.hash4j.hashing.Hashing;

/** Numbers that look like chance and are the same each time. */
final class Mix {
    private Mix() {}

    static long of(long x) {
        return Hashing.komihash5_0().hashStream().putLong(x).getAsLong();
    }

    static long of(String name, long x, long y) {
        return Hashing.komihash5_0().hashStream().putString(name).putLong(x).putLong(y).getAsLong();
    }

    /** From 0 up to 1. */
    static double phase(long x) {
        return (x >>> 11) * 0x1p-53;
    }
}
