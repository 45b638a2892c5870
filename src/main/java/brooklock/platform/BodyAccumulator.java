package brooklock.platform;

import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * Bytes of a stated length that come bit by bit. Memory grows with what has come, not with what was
 * announced. Pure.
 */
final class BodyAccumulator {
    // First piece; most texts fit, and a body doubles it a few times.
    private static final int INITIAL_CAPACITY_BYTES = 4096;

    private final int length;
    private byte[] bytes;
    private int received;

    BodyAccumulator(int length) {
        this.length = length;
        bytes = new byte[Math.min(length, INITIAL_CAPACITY_BYTES)];
    }

    /** Takes what belongs here; true once all of it has come. */
    boolean append(ByteBuffer in) {
        int count = Math.min(length - received, in.remaining());
        if (received + count > bytes.length) {
            bytes =
                    Arrays.copyOf(
                            bytes, Math.min(length, Math.max(received + count, 2 * bytes.length)));
        }
        in.get(bytes, received, count);
        received += count;
        return received == length;
    }

    /** All of it, once it has come; not a copy. */
    byte[] bytes() {
        return bytes;
    }
}
