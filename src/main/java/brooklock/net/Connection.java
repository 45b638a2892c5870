package brooklock.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.conduits.ConduitStreamSinkChannel;
import org.xnio.conduits.ConduitStreamSourceChannel;
import org.xnio.ssl.SslConnection;

/**
 * Base class of all connections. It holds the unconsumed input, the queue of output and one movable
 * deadline, and ensures that the connection is closed only once.
 *
 * <p>Not thread-safe: all methods and fields are used on the connection's I/O thread only.
 * Subclasses call {@link #listenForReadiness} once, and suspend and resume reading and writing
 * themselves.
 */
abstract class Connection {
    final IoLoop loop;
    final StreamConnection channel;
    final ConduitStreamSourceChannel source;
    final WriteQueue writeQueue;
    final DeadlineTimer deadline;

    /**
     * Whether the connection uses TLS. A TLS record may have been read from the socket without
     * having been decrypted, so a reader that waits for socket readiness alone could stall.
     */
    final boolean tls;

    /**
     * Maximum number of buffers that a connection reads before the other connections of the thread
     * have their turn.
     */
    static final int MAX_READS_PER_TURN = 4;

    /**
     * The unconsumed input, in write mode; null while there is none. During a read and while the
     * subclass uses it, it is a direct buffer of the pool. Between reads it is a heap buffer of
     * just the size of the unconsumed bytes: direct memory is scarce, and many peers that each stop
     * in the middle of a message head must not exhaust it.
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

    /** Registers the readiness callbacks, which are called once reads or writes are resumed. */
    final void listenForReadiness() {
        source.setReadListener(ready -> onReadable());
        channel.getSinkChannel().setWriteListener(ready -> onWritable());
    }

    /** Called when the deadline has passed. */
    abstract void onTimeout();

    /** Called when the socket has input or its input has ended. */
    abstract void onReadable();

    /** Called when the socket accepts output again. */
    abstract void onWritable();

    /**
     * Reads into a buffer of the pool, behind the unconsumed input.
     *
     * @return the number of bytes read, or -1 at the end of input
     * @throws IOException if the connection is lost
     */
    final int readInput() throws IOException {
        if (input == null) {
            input = loop.buffers.acquire();
        } else if (!input.isDirect()) {
            ByteBuffer unconsumed = input.flip();
            input = loop.buffers.acquire().put(unconsumed);
        }
        return source.read(input);
    }

    /** Returns whether the unconsumed input leaves no room for a read. */
    final boolean isInputFull() {
        return input != null && input.position() == BufferPool.BUFFER_BYTES;
    }

    /**
     * Ends the turn of this connection although input may be left. The read listener is called
     * again once the other connections of the thread have had their turn.
     */
    final void continueReadingInNextTurn() {
        // The socket stays ready while it has input, but not for a TLS record that was read from it
        // without having been decrypted.
        if (tls && !closed) {
            source.wakeupReads();
        }
    }

    /**
     * Writes the queued output. If the socket does not accept all of it, {@link #onWritable} is
     * called when it accepts more.
     *
     * @return true if output was pending for {@link #onWritable} and this call wrote the rest of
     *     it; otherwise false
     * @throws IOException if the connection is lost
     */
    final boolean flushOutput() throws IOException {
        ConduitStreamSinkChannel sink = channel.getSinkChannel();
        if (!writeQueue.flush()) {
            sink.resumeWrites();
            return false;
        }
        boolean wasWriteResumed = sink.isWriteResumed();
        if (wasWriteResumed) {
            sink.suspendWrites();
        }
        return wasWriteResumed;
    }

    /**
     * Shuts down the sending side, so that the peer reads everything written and then the end of
     * input. Closing the socket while input is unread would instead reset the connection, and the
     * peer might lose what was written.
     */
    final void shutDownOutput() throws IOException {
        channel.getSinkChannel().shutdownWrites();
        channel.getSinkChannel().flush();
    }

    /**
     * Copies the unconsumed bytes of the input, which is in read mode, to a heap buffer of their
     * size, and returns the direct buffer to the pool.
     */
    final void keepUnconsumed() {
        if (input == null) {
            return;
        }
        ByteBuffer unconsumed =
                input.hasRemaining() ? ByteBuffer.allocate(input.remaining()).put(input) : null;
        releaseInput();
        input = unconsumed;
    }

    final void releaseInput() {
        if (input != null && input.isDirect()) {
            loop.buffers.release(input);
        }
        input = null;
    }

    /**
     * Closes the connection.
     *
     * @return false if it had been closed before
     */
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
