package brooklock.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import org.xnio.conduits.ConduitStreamSinkChannel;

/**
 * A queue of the buffers that a connection has yet to write; used on its I/O thread only. It
 * references the buffers without copying them, so that a slow peer costs no memory beyond the
 * buffers of the sender. The sender must not modify a buffer until it has been written. The queue
 * is unbounded: callers that add to it must limit its size.
 */
final class WriteQueue {
    /** Room for a typical response: its head, a chunk header, a chunk, its end, the last chunk. */
    private static final int INITIAL_CAPACITY = 8;

    /** Maximum number of buffers in one gathering write; the system accepts at most 1,024. */
    private static final int MAX_BUFFERS_PER_WRITE = 64;

    /**
     * Maximum number of bytes in one write. The virtual machine first copies heap buffers to direct
     * memory, all of them, although the socket may accept only a few bytes: without this bound a
     * peer that reads slowly would cost a copy of its whole queue for each small part that it
     * reads, and direct memory of that size.
     */
    static final int MAX_BYTES_PER_WRITE = 64 * 1024;

    private final ConduitStreamSinkChannel sink;
    private ByteBuffer[] buffers = new ByteBuffer[INITIAL_CAPACITY];
    private int head;
    private int tail;
    private long addedBytes;
    private long writtenBytes;

    WriteQueue(ConduitStreamSinkChannel sink) {
        this.sink = sink;
    }

    void add(ByteBuffer buffer) {
        if (tail == buffers.length && head > 0) {
            System.arraycopy(buffers, head, buffers, 0, tail - head);
            Arrays.fill(buffers, tail - head, tail, null);
            tail -= head;
            head = 0;
        } else if (tail == buffers.length) {
            buffers = Arrays.copyOf(buffers, 2 * tail);
        }
        buffers[tail++] = buffer;
        addedBytes += buffer.remaining();
    }

    /**
     * Writes as many bytes as the socket accepts without blocking.
     *
     * @return true if all output has been written, in this queue and in the layers below it (TLS)
     * @throws IOException if the connection is lost
     */
    boolean flush() throws IOException {
        while (head < tail) {
            long count = writeOnce();
            writtenBytes += Math.max(0, count);
            while (head < tail && !buffers[head].hasRemaining()) {
                buffers[head++] = null;
            }
            if (count <= 0 && head < tail) {
                return false;
            }
        }
        head = 0;
        tail = 0;
        return sink.flush();
    }

    private long writeOnce() throws IOException {
        int count = 0;
        long byteCount = 0;
        while (head + count < tail
                && count < MAX_BUFFERS_PER_WRITE
                && byteCount < MAX_BYTES_PER_WRITE) {
            byteCount += buffers[head + count].remaining();
            count++;
        }
        ByteBuffer last = buffers[head + count - 1];
        int limit = last.limit();
        last.limit(limit - (int) Math.max(0, byteCount - MAX_BYTES_PER_WRITE));
        try {
            return count == 1 ? sink.write(last) : sink.write(buffers, head, count);
        } finally {
            last.limit(limit);
        }
    }

    boolean isEmpty() {
        return head == tail;
    }

    /** Returns the number of bytes that are queued to be written. */
    long pendingBytes() {
        return addedBytes - writtenBytes;
    }

    /** Returns the number of buffers that are queued to be written. */
    int pendingBuffers() {
        return tail - head;
    }

    /** Returns the number of bytes that the socket has accepted since the connection was opened. */
    long writtenBytes() {
        return writtenBytes;
    }
}
