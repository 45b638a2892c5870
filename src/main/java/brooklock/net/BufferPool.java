package brooklock.net;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;

/**
 * Direct buffers of one I/O thread. A connection holds one only while it has bytes at hand, so idle
 * ones cost none.
 */
final class BufferPool {
    /** Bytes of a buffer: a head with room to spare, and few calls for a large body. */
    static final int BUFFER_BYTES = 16 * 1024;

    /** Buffers kept for use again; what is over is left to the collector. */
    private static final int MAX_POOLED_BUFFERS = 256;

    private final ArrayDeque<ByteBuffer> pooled = new ArrayDeque<>();

    ByteBuffer acquire() {
        ByteBuffer buffer = pooled.pollFirst();
        return buffer == null ? ByteBuffer.allocateDirect(BUFFER_BYTES) : buffer;
    }

    void release(ByteBuffer buffer) {
        if (pooled.size() < MAX_POOLED_BUFFERS) {
            pooled.addFirst(buffer.clear());
        }
    }
}
