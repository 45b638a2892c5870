package brooklock.platform;

import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * Collects the bytes of a text or body of an announced length that comes in pieces. Memory grows
 * with what has come, not with what was announced, so that a peer which announces much costs
 * nothing. Pure.
 */
final class ByteAccumulator {
    // Most texts fit, and a body doubles it a few times.
    private static final int INITIAL_CAPACITY_BYTES = 4096;

    private final int length;
    private byte[] bytes;
    private int received;

    /**
     * Creates an empty accumulator.
     *
     * @param length the announced length, bytes
     */
    ByteAccumulator(int length) {
        this.length = length;
        bytes = new byte[Math.min(length, INITIAL_CAPACITY_BYTES)];
    }

    /** Appends what belongs here; returns whether all of it has come. */
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

    /** Returns all of it, once it has come; not a copy. */
    byte[] bytes() {
        return bytes;
    }
}
