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
abstract class Wire {
    final IoLoop loop;
    final StreamConnection connection;
    final ConduitStreamSourceChannel source;
    final Output output;
    final Watchdog watchdog;

    /**
     * A record of TLS may have been read from the socket and not been opened yet, so readiness
     * alone does not do.
     */
    final boolean tls;

    /**
     * Bytes not taken yet, ready to be added to; null while there are none, so that an idle
     * connection holds none.
     */
    ByteBuffer in;

    boolean closed;

    Wire(IoLoop loop, StreamConnection connection) {
        this.loop = loop;
        this.connection = connection;
        tls = connection instanceof SslConnection;
        source = connection.getSourceChannel();
        output = new Output(connection.getSinkChannel());
        watchdog = new Watchdog(loop, this::late);
    }

    /** The deadline has passed. */
    abstract void late();

    /**
     * Reads into the buffer, which is taken from the pool where there is none: bytes, or -1 at the
     * end.
     */
    final int fill() throws IOException {
        if (in == null) {
            in = loop.buffers.take();
        }
        return source.read(in);
    }

    /**
     * Writes what waits, and asks to be called again while something does; true once nothing does
     * after such a call.
     */
    final boolean flushed() throws IOException {
        ConduitStreamSinkChannel sink = connection.getSinkChannel();
        if (!output.flush()) {
            sink.resumeWrites();
            return false;
        }
        boolean waited = sink.isWriteResumed();
        if (waited) {
            sink.suspendWrites();
        }
        return waited;
    }

    /**
     * Keeps what was not taken of a buffer that was flipped for reading; gives it back where
     * nothing was left.
     */
    final void keepRest() {
        if (in != null) {
            in.compact();
            if (in.position() == 0) {
                giveBuffer();
            }
        }
    }

    final void giveBuffer() {
        if (in != null) {
            loop.buffers.give(in);
            in = null;
        }
    }

    /** Ends the connection; false where it has ended already. */
    final boolean end() {
        if (closed) {
            return false;
        }
        closed = true;
        watchdog.end();
        giveBuffer();
        IoUtils.safeClose(connection);
        return true;
    }
}
