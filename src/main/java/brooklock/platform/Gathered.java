package brooklock.platform;

import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * Bytes of a stated length that come bit by bit. Memory grows with what has come, not with what was
 * announced. Pure.
 */
final class Gathered {
    // First piece; most texts fit, and a body doubles it a few times.
    private static final int FIRST = 4096;

    private final int length;
    private byte[] bytes;
    private int have;

    Gathered(int length) {
        this.length = length;
        bytes = new byte[Math.min(length, FIRST)];
    }

    /** Takes what belongs here; true once all of it has come. */
    boolean take(ByteBuffer in) {
        int n = Math.min(length - have, in.remaining());
        if (have + n > bytes.length) {
            bytes = Arrays.copyOf(bytes, Math.min(length, Math.max(have + n, 2 * bytes.length)));
        }
        in.get(bytes, have, n);
        have += n;
        return have == length;
    }

    /** All of it, once it has come; not a copy. */
    byte[] bytes() {
        return bytes;
    }
}
