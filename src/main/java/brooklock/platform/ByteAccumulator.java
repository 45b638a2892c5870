package brooklock.platform;

import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * Accumulates a text or body of known length that arrives in pieces. The array grows with the bytes
 * received and not with the announced length; otherwise a peer could make the dispatcher allocate
 * memory merely by announcing long bodies. Performs no I/O; not thread-safe.
 */
final class ByteAccumulator {
    // Holds most texts without growing; the largest body needs a few doublings.
    private static final int INITIAL_CAPACITY_BYTES = 4096;

    private static final byte[] NO_BYTES = {};

    private final int expectedLength;
    private byte[] bytes;
    private int receivedCount;
    private boolean discarding;

    /**
     * Creates an empty accumulator.
     *
     * @param length the announced length, bytes
     */
    ByteAccumulator(int length) {
        expectedLength = length;
        bytes = new byte[Math.min(length, INITIAL_CAPACITY_BYTES)];
    }

    /** Drops the bytes received so far and those that are still to come. */
    void discard() {
        discarding = true;
        bytes = NO_BYTES;
    }

    /**
     * Appends bytes from a buffer until the announced length is reached or the buffer is empty.
     *
     * @return whether all announced bytes have been received
     */
    boolean append(ByteBuffer input) {
        int count = Math.min(expectedLength - receivedCount, input.remaining());
        if (discarding) {
            input.position(input.position() + count);
        } else {
            copy(input, count);
        }
        receivedCount += count;
        return receivedCount == expectedLength;
    }

    private void copy(ByteBuffer input, int count) {
        if (receivedCount + count > bytes.length) {
            bytes =
                    Arrays.copyOf(
                            bytes,
                            Math.min(
                                    expectedLength,
                                    Math.max(receivedCount + count, 2 * bytes.length)));
        }
        input.get(bytes, receivedCount, count);
    }

    /** Returns the memory that the accumulator occupies, bytes. */
    int capacity() {
        return bytes.length;
    }

    /**
     * Returns the accumulated bytes without copying them; none if they were discarded. The result
     * is valid only after {@link #append} has returned true.
     */
    byte[] bytes() {
        return bytes;
    }
}
