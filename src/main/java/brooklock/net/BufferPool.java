package brooklock.net;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;

/**
 * Direct buffers of one I/O thread. A connection holds a buffer only while it has unconsumed input,
 * so an idle connection costs none.
 */
final class BufferPool {
    /** Bytes of a buffer: enough for a usual head, and few reads for a large body. */
    static final int BUFFER_BYTES = 16 * 1024;

    /** Buffers kept for reuse; further ones are left to the garbage collector. */
    private static final int MAX_POOLED_BUFFERS = 256;

    private final ArrayDeque<ByteBuffer> pooled = new ArrayDeque<>();

    /** Takes an empty buffer, ready to be filled. */
    ByteBuffer acquire() {
        ByteBuffer buffer = pooled.pollFirst();
        return buffer == null ? ByteBuffer.allocateDirect(BUFFER_BYTES) : buffer;
    }

    /** Returns a buffer; its holder must not touch it afterwards. */
    void release(ByteBuffer buffer) {
        if (pooled.size() < MAX_POOLED_BUFFERS) {
            pooled.addFirst(buffer.clear());
        }
    }
}
