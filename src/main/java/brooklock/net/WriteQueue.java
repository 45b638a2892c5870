package brooklock.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import org.xnio.conduits.ConduitStreamSinkChannel;

/**
 * The buffers that a connection has still to write. It holds the buffers themselves, not copies, so
 * a slow reader costs no memory beyond what the sender holds already; the sender must leave them
 * alone until all are written. The queue is unbounded: whoever adds bounds it.
 */
final class WriteQueue {
    /** Buffers of one usual response: a head, a chunk header, a chunk, its end, the last chunk. */
    private static final int INITIAL_CAPACITY = 8;

    /** Buffers of one gathering write; the system takes no more than 1,024. */
    private static final int MAX_BUFFERS_PER_WRITE = 64;

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
     * Writes what the socket takes without blocking.
     *
     * @return true once nothing waits, here or in a layer below
     */
    boolean flush() throws IOException {
        while (head < tail) {
            long count =
                    tail - head == 1
                            ? sink.write(buffers[head])
                            : sink.write(
                                    buffers, head, Math.min(MAX_BUFFERS_PER_WRITE, tail - head));
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

    boolean isEmpty() {
        return head == tail;
    }

    /** Bytes that wait to be written. */
    long pendingBytes() {
        return addedBytes - writtenBytes;
    }

    /** Bytes that the socket has taken since the connection began. */
    long writtenBytes() {
        return writtenBytes;
    }
}
