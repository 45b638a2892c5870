package brooklock.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.conduits.ConduitStreamSinkChannel;
import org.xnio.conduits.ConduitStreamSourceChannel;
import org.xnio.ssl.SslConnection;

/**
 * What both sides of a connection share: the bytes that have come and were not taken yet, what is
 * still to be written, one moving deadline, and an end that happens once. Belongs to one I/O
 * thread.
 */
abstract class Connection {
    final IoLoop loop;
    final StreamConnection channel;
    final ConduitStreamSourceChannel source;
    final WriteQueue writeQueue;
    final DeadlineTimer deadline;

    /**
     * A record of TLS may have been read from the socket and not been opened yet, so readiness
     * alone does not do.
     */
    final boolean tls;

    /**
     * Bytes not taken yet, ready to be added to; null while there are none, so that an idle
     * connection holds none.
     */
    ByteBuffer input;

    boolean closed;

    Connection(IoLoop loop, StreamConnection channel) {
        this.loop = loop;
        this.channel = channel;
        tls = channel instanceof SslConnection;
        source = channel.getSourceChannel();
        writeQueue = new WriteQueue(channel.getSinkChannel());
        deadline = new DeadlineTimer(loop, this::onTimeout);
    }

    /** The deadline has passed. */
    abstract void onTimeout();

    /**
     * Reads into the buffer, which is taken from the pool where there is none: bytes, or -1 at the
     * end.
     */
    final int readInput() throws IOException {
        if (input == null) {
            input = loop.buffers.acquire();
        }
        return source.read(input);
    }

    /**
     * Writes what waits, and asks to be called again while something does; true once nothing does
     * after such a call.
     */
    final boolean flushOutput() throws IOException {
        ConduitStreamSinkChannel sink = channel.getSinkChannel();
        if (!writeQueue.flush()) {
            sink.resumeWrites();
            return false;
        }
        boolean wasWaiting = sink.isWriteResumed();
        if (wasWaiting) {
            sink.suspendWrites();
        }
        return wasWaiting;
    }

    /**
     * Keeps what was not taken of a buffer that was flipped for reading; gives it back where
     * nothing was left.
     */
    final void keepUnconsumed() {
        if (input != null) {
            input.compact();
            if (input.position() == 0) {
                releaseInput();
            }
        }
    }

    final void releaseInput() {
        if (input != null) {
            loop.buffers.release(input);
            input = null;
        }
    }

    /** Ends the connection; false where it has ended already. */
    final boolean closeOnce() {
        if (closed) {
            return false;
        }
        closed = true;
        deadline.cancel();
        releaseInput();
        IoUtils.safeClose(channel);
        return true;
    }
}
