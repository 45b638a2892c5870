package brooklock.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import org.xnio.conduits.ConduitStreamSinkChannel;

/**
 * What a connection has still to write. It holds the buffers themselves, not copies: whoever hands
 * one in leaves it alone until all is written, so a slow reader costs no memory beyond what its
 * sender holds already. How much may wait is bounded by whoever adds.
 */
final class Output {
    // A head, a chunk's start, its bytes, its end, and a last chunk.
    private static final int USUAL = 8;
    // Buffers written in one call: more gains nothing, and the system takes no more than 1,024.
    private static final int AT_ONCE = 64;

    private final ConduitStreamSinkChannel sink;
    private ByteBuffer[] waiting = new ByteBuffer[USUAL];
    private int from;
    private int to;
    private long added;
    private long written;

    Output(ConduitStreamSinkChannel sink) {
        this.sink = sink;
    }

    void add(ByteBuffer b) {
        if (to == waiting.length && from > 0) {
            System.arraycopy(waiting, from, waiting, 0, to - from);
            Arrays.fill(waiting, to - from, to, null);
            to -= from;
            from = 0;
        } else if (to == waiting.length) {
            waiting = Arrays.copyOf(waiting, 2 * to);
        }
        waiting[to++] = b;
        added += b.remaining();
    }

    /** Writes what the socket takes; true once nothing waits. */
    boolean flush() throws IOException {
        while (from < to) {
            long n =
                    to - from == 1
                            ? sink.write(waiting[from])
                            : sink.write(waiting, from, Math.min(AT_ONCE, to - from));
            written += Math.max(0, n);
            while (from < to && !waiting[from].hasRemaining()) {
                waiting[from++] = null;
            }
            if (n <= 0 && from < to) {
                return false;
            }
        }
        from = 0;
        to = 0;
        return sink.flush();
    }

    boolean empty() {
        return from == to;
    }

    /** Bytes that wait. */
    long pending() {
        return added - written;
    }

    /** Bytes the socket has taken since the connection began. */
    long written() {
        return written;
    }
}
