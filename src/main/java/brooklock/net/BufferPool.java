package brooklock.net;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;

/**
 * Pools the direct buffers of one I/O thread; used on that thread only. A connection holds a buffer
 * only while it reads or while its handler uses the input, so that the number of buffers does not
 * grow with the number of connections.
 */
final class BufferPool {
    /**
     * Size of a buffer, in bytes: a typical message head fits, and a large body takes few reads.
     */
    static final int BUFFER_BYTES = 16 * 1024;

    /** Maximum number of buffers kept for reuse; the garbage collector frees the others. */
    private static final int MAX_POOLED_BUFFERS = 256;

    private final ArrayDeque<ByteBuffer> pooled = new ArrayDeque<>();

    /** Returns an empty buffer in write mode, which the caller must {@link #release}. */
    ByteBuffer acquire() {
        ByteBuffer buffer = pooled.pollFirst();
        return buffer == null ? ByteBuffer.allocateDirect(BUFFER_BYTES) : buffer;
    }

    /** Returns a buffer to the pool; the caller must not access the buffer afterwards. */
    void release(ByteBuffer buffer) {
        if (pooled.size() < MAX_POOLED_BUFFERS) {
            pooled.addFirst(buffer.clear());
        }
    }
}
