package brooklock.net;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;

/**
 * Direct buffers of one I/O thread. A connection holds one only while it has bytes at hand, so idle
 * ones cost none.
 */
final class BufferPool {
    /** Bytes of a buffer: a head with room to spare, and few calls for a large body. */
    static final int SIZE = 16 * 1024;

    /** Buffers kept for use again; what is over is left to the collector. */
    private static final int MOST_KEPT = 256;

    private final ArrayDeque<ByteBuffer> free = new ArrayDeque<>();

    ByteBuffer take() {
        ByteBuffer b = free.pollFirst();
        return b == null ? ByteBuffer.allocateDirect(SIZE) : b;
    }

    void give(ByteBuffer b) {
        if (free.size() < MOST_KEPT) {
            free.addFirst(b.clear());
        }
    }
}
