package brooklock.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.ChannelPipe;
import org.xnio.StreamConnection;

/**
 * A connection that carries a protocol other than HTTP: bytes in, bytes out, one moving deadline,
 * one end. Belongs to one I/O thread, on which everything here is called. Reads one buffer a
 * readiness, so that a peer at full speed leaves the others their turns.
 */
public final class Stream extends Wire {
    /** Whoever speaks the protocol. */
    public interface Taker {
        /**
         * Takes bytes. What is left in the buffer is offered again with what follows; leaving a
         * whole buffer of {@value BufferPool#SIZE} bytes ends the connection.
         */
        void bytes(ByteBuffer in);

        /** All that waited to be written has been taken by the system. */
        default void allWritten() {}

        /** The deadline has passed. */
        default void late() {}

        /** The connection has ended by itself; not called after {@link Stream#close}. */
        void ended(String why);
    }

    // Bytes read and left after the sending side was shut; a peer that sends more is not waited
    // for.
    private static final long MOST_LEFT = 256 * 1024;

    private static final Logger LOG = LoggerFactory.getLogger(Stream.class);

    private Taker taker;
    private boolean reading;
    private Runnable over;
    private boolean shut;
    private long left;

    Stream(IoLoop loop, StreamConnection connection) {
        super(loop, connection);
        source.setReadListener(c -> readable());
        connection.getSinkChannel().setWriteListener(c -> writable());
    }

    /**
     * Two ends within the program, without a socket.
     *
     * @throws IOException where descriptors have run out
     */
    public static Stream[] pair(IoLoop loop) throws IOException {
        ChannelPipe<StreamConnection, StreamConnection> pipe =
                loop.thread.createFullDuplexPipeConnection();
        return new Stream[] {
            new Stream(loop, pipe.getLeftSide()), new Stream(loop, pipe.getRightSide())
        };
    }

    /** Begins to read for a taker. */
    public void start(Taker to) {
        taker = to;
        read(true);
    }

    /** Goes on or stops reading; what the peer sends meanwhile waits in the system's buffers. */
    public void read(boolean on) {
        if (closed || reading == on) {
            return;
        }
        reading = on;
        if (on) {
            source.resumeReads();
        } else {
            source.suspendReads();
        }
    }

    /** Reads once what the system holds now and hands it to the taker; whether there was any. */
    public boolean readNow() {
        return !closed() && reading && readable();
    }

    /** Writes; what the system does not take at once waits. */
    public void write(ByteBuffer... parts) {
        if (closed()) {
            return;
        }
        boolean first = output.empty();
        for (ByteBuffer b : parts) {
            output.add(b);
        }
        if (first) {
            writable();
        }
    }

    /** Bytes that wait to be written. */
    public long pending() {
        return output.pending();
    }

    /** Bytes the system has taken since the connection began. */
    public long written() {
        return output.written();
    }

    /** Calls {@link Taker#late} after so many nanoseconds, in place of any time set before. */
    public void deadline(long ns) {
        if (!closed()) {
            watchdog.in(ns);
        }
    }

    /** Takes the deadline away. */
    public void noDeadline() {
        if (!closed()) {
            watchdog.off();
        }
    }

    /** Whether it has ended, or is ending in order: no byte goes to its taker any more. */
    public boolean closed() {
        return closed || over != null;
    }

    /**
     * Ends it in order: what waits is written, then the sending side is shut, and what still comes
     * is read and left until the peer has closed too. A close over unread bytes would reset the
     * connection and take written answers with it.
     *
     * @param limitNs longest that it may take, ns
     * @param ended called once its descriptor is free
     */
    public void finish(long limitNs, Runnable ended) {
        if (closed()) {
            return;
        }
        read(true);
        watchdog.in(limitNs);
        over = ended;
        giveBuffer();
        try {
            shutOnceWritten();
        } catch (IOException e) {
            close();
        }
    }

    private void shutOnceWritten() throws IOException {
        if (!shut && output.empty()) {
            shut = true;
            connection.getSinkChannel().shutdownWrites();
            connection.getSinkChannel().flush();
        }
    }

    /** Ends it, whatever it is at. */
    public void close() {
        if (end() && over != null) {
            over.run();
        }
    }

    @Override
    void late() {
        if (over != null) {
            close();
        } else if (!closed) {
            taker.late();
        }
    }

    private boolean readable() {
        if (closed || !reading) {
            return false;
        }
        int n = 0;
        try {
            n = fill();
            if (n < 0) {
                broken("closed by the peer");
                return false;
            }
            if (over != null) {
                leave(n);
                return false;
            }
            in.flip();
            if (n > 0) {
                taker.bytes(in);
            }
            if (!closed()) {
                keepRest();
                if (in != null && !in.hasRemaining()) {
                    broken("a whole buffer was left");
                }
            }
        } catch (IOException e) {
            broken(String.valueOf(e.getMessage()));
        } catch (RuntimeException fault) {
            // A fault of whoever speaks the protocol costs this connection, not the thread: its
            // bytes would be ready for ever.
            LOG.error("a connection's bytes could not be taken", fault);
            broken("a fault here");
        }
        return n > 0;
    }

    private void leave(int n) {
        giveBuffer();
        left += n;
        if (left > MOST_LEFT) {
            close();
        }
    }

    private void writable() {
        if (closed) {
            return;
        }
        try {
            boolean all = flushed();
            if (over != null) {
                shutOnceWritten();
            } else if (all) {
                taker.allWritten();
            }
        } catch (IOException e) {
            // Told later: whoever wrote is in the middle of something.
            String why = String.valueOf(e.getMessage());
            loop.execute(() -> broken(why));
        }
    }

    private void broken(String why) {
        if (over != null) {
            close();
        } else if (end()) {
            taker.ended(why);
        }
    }
}
