package brooklock.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.conduits.ConduitStreamSinkChannel;
import org.xnio.conduits.ConduitStreamSourceChannel;
import org.xnio.ssl.SslConnection;

/**
 * What every kind of connection shares: the input that has not been consumed, the queue of output,
 * one movable deadline, and a close that happens once. Belongs to one I/O thread.
 */
abstract class Connection {
    final IoLoop loop;
    final StreamConnection channel;
    final ConduitStreamSourceChannel source;
    final WriteQueue writeQueue;
    final DeadlineTimer deadline;

    /**
     * Whether the connection is encrypted. A TLS record may have been read from the socket and not
     * been decrypted yet, so waiting for socket readiness alone would stall.
     */
    final boolean tls;

    /**
     * Input that has not been consumed, in a buffer that is ready to be added to; null while there
     * is none, so that an idle connection holds no buffer.
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

    /** Asks for the readiness callbacks; reads and writes must still be resumed. */
    final void listenForReadiness() {
        source.setReadListener(ready -> onReadable());
        channel.getSinkChannel().setWriteListener(ready -> onWritable());
    }

    /** The deadline has passed. */
    abstract void onTimeout();

    /** The socket has input, or its input has ended. */
    abstract void onReadable();

    /** The socket takes output again. */
    abstract void onWritable();

    /**
     * Reads into the input buffer, which is taken from the pool where there is none.
     *
     * @return the bytes read, or -1 at the end of input
     */
    final int readInput() throws IOException {
        if (input == null) {
            input = loop.buffers.acquire();
        }
        return source.read(input);
    }

    /**
     * Writes what waits, and asks for {@link #onWritable} while something still does.
     *
     * @return true once everything is written that had been waiting for {@code onWritable}
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
     * Ends the sending side. The peer reads everything that was written, then the end; closing
     * instead over unread input would reset the connection and discard what was written.
     */
    final void shutDownOutput() throws IOException {
        channel.getSinkChannel().shutdownWrites();
        channel.getSinkChannel().flush();
    }

    /** Keeps what was not consumed of an input buffer that was flipped for reading. */
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

    /**
     * Closes the connection.
     *
     * @return false where it had been closed before
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
