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
public final class RawConnection extends Connection {
    /** Whoever speaks the protocol. */
    public interface EventListener {
        /**
         * Takes bytes. What is left in the buffer is offered again with what follows; leaving a
         * whole buffer of {@value BufferPool#SIZE} bytes ends the connection.
         */
        void onBytes(ByteBuffer in);

        /** All that waited to be written has been taken by the system. */
        default void onAllWritten() {}

        /** The deadline has passed. */
        default void onTimeout() {}

        /**
         * The connection has ended by itself; not called after {@link
         * RawConnection#completeRequest}.
         */
        void onClose(String reason);
    }

    // Bytes read and left after the sending side was shut; a peer that sends more is not waited
    // for.
    private static final long MAX_DISCARDED_BYTES = 256 * 1024;

    private static final Logger LOG = LoggerFactory.getLogger(RawConnection.class);

    private EventListener listener;
    private boolean reading;
    private Runnable gracefulCloseDone;
    private boolean writesShut;
    private long discardedBytes;

    RawConnection(IoLoop loop, StreamConnection connection) {
        super(loop, connection);
        source.setReadListener(c -> onReadable());
        connection.getSinkChannel().setWriteListener(c -> onWritable());
    }

    /**
     * Two ends within the program, without a socket.
     *
     * @throws IOException where descriptors have run out
     */
    public static RawConnection[] pair(IoLoop loop) throws IOException {
        ChannelPipe<StreamConnection, StreamConnection> pipe =
                loop.thread.createFullDuplexPipeConnection();
        return new RawConnection[] {
            new RawConnection(loop, pipe.getLeftSide()),
            new RawConnection(loop, pipe.getRightSide())
        };
    }

    /** Begins to read for a taker. */
    public void start(EventListener newListener) {
        listener = newListener;
        setReading(true);
    }

    /** Goes on or stops reading; what the peer sends meanwhile waits in the system's buffers. */
    public void setReading(boolean enabled) {
        if (closed || reading == enabled) {
            return;
        }
        reading = enabled;
        if (enabled) {
            source.resumeReads();
        } else {
            source.suspendReads();
        }
    }

    /** Reads once what the system holds now and hands it to the taker; whether there was any. */
    public boolean readNow() {
        return !isClosed() && reading && onReadable();
    }

    /** Writes; what the system does not take at once waits. */
    public void write(ByteBuffer... parts) {
        if (isClosed()) {
            return;
        }
        boolean first = writeQueue.isEmpty();
        for (ByteBuffer b : parts) {
            writeQueue.add(b);
        }
        if (first) {
            onWritable();
        }
    }

    /** Bytes that wait to be written. */
    public long pendingBytes() {
        return writeQueue.pendingBytes();
    }

    /** Bytes the system has taken since the connection began. */
    public long writtenBytes() {
        return writeQueue.writtenBytes();
    }

    /**
     * Calls {@link EventListener#onTimeout} after so many nanoseconds, in place of any time set
     * before.
     */
    public void setTimeout(long timeoutNs) {
        if (!isClosed()) {
            deadline.startTimeout(timeoutNs);
        }
    }

    /** Takes the deadline away. */
    public void clearTimeout() {
        if (!isClosed()) {
            deadline.clear();
        }
    }

    /** Whether it has ended, or is ending in order: no byte goes to its taker any more. */
    public boolean isClosed() {
        return closed || gracefulCloseDone != null;
    }

    /**
     * Ends it in order: what waits is written, then the sending side is shut, and what still comes
     * is read and left until the peer has closed too. A close over unread bytes would reset the
     * connection and take written answers with it.
     *
     * @param limitNs longest that it may take, ns
     * @param ended called once its descriptor is free
     */
    public void closeGracefully(long timeoutNs, Runnable onClosed) {
        if (isClosed()) {
            return;
        }
        setReading(true);
        deadline.startTimeout(timeoutNs);
        gracefulCloseDone = onClosed;
        releaseInput();
        try {
            shutWritesWhenDrained();
        } catch (IOException e) {
            close();
        }
    }

    private void shutWritesWhenDrained() throws IOException {
        if (!writesShut && writeQueue.isEmpty()) {
            writesShut = true;
            channel.getSinkChannel().shutdownWrites();
            channel.getSinkChannel().flush();
        }
    }

    /** Ends it, whatever it is at. */
    public void close() {
        if (closeOnce() && gracefulCloseDone != null) {
            gracefulCloseDone.run();
        }
    }

    @Override
    void onTimeout() {
        if (gracefulCloseDone != null) {
            close();
        } else if (!closed) {
            listener.onTimeout();
        }
    }

    private boolean onReadable() {
        if (closed || !reading) {
            return false;
        }
        int bytesRead = 0;
        try {
            bytesRead = readInput();
            if (bytesRead < 0) {
                onConnectionLost("closed by the peer");
                return false;
            }
            if (gracefulCloseDone != null) {
                discard(bytesRead);
                return false;
            }
            input.flip();
            if (bytesRead > 0) {
                listener.onBytes(input);
            }
            if (!isClosed()) {
                keepUnconsumed();
                if (input != null && !input.hasRemaining()) {
                    onConnectionLost("a whole buffer was left");
                }
            }
        } catch (IOException e) {
            onConnectionLost(String.valueOf(e.getMessage()));
        } catch (RuntimeException fault) {
            // A fault of whoever speaks the protocol costs this connection, not the thread: its
            // bytes would be ready for ever.
            LOG.error("a connection's bytes could not be taken", fault);
            onConnectionLost("a fault here");
        }
        return bytesRead > 0;
    }

    private void discard(int count) {
        releaseInput();
        discardedBytes += count;
        if (discardedBytes > MAX_DISCARDED_BYTES) {
            close();
        }
    }

    private void onWritable() {
        if (closed) {
            return;
        }
        try {
            boolean drained = flushOutput();
            if (gracefulCloseDone != null) {
                shutWritesWhenDrained();
            } else if (drained) {
                listener.onAllWritten();
            }
        } catch (IOException e) {
            // Told later: whoever wrote is in the middle of something.
            String reason = String.valueOf(e.getMessage());
            loop.execute(() -> onConnectionLost(reason));
        }
    }

    private void onConnectionLost(String reason) {
        if (gracefulCloseDone != null) {
            close();
        } else if (closeOnce()) {
            listener.onClose(reason);
        }
    }
}
