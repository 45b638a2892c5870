package brooklock.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.ChannelPipe;
import org.xnio.StreamConnection;

/**
 * A connection that carries a protocol other than HTTP: bytes in, bytes out, one movable timeout,
 * one close. All methods are called on its I/O thread. It reads one buffer each time the socket is
 * ready, so that a peer at full speed leaves the other connections their turns.
 */
public final class RawConnection extends Connection {
    /**
     * Implements the protocol of a connection. All methods are called on the connection's I/O
     * thread, after {@link RawConnection#start}; none is called after {@link #onClose}, after
     * {@link RawConnection#close} or after {@link RawConnection#closeGracefully}.
     */
    public interface EventListener {
        /**
         * Consumes input. What is left in the buffer is offered again together with what follows;
         * leaving a whole buffer of {@value BufferPool#BUFFER_BYTES} bytes closes the connection.
         */
        void onBytes(ByteBuffer in);

        /** The system has taken everything that had waited to be written. */
        default void onAllWritten() {}

        /** The timeout set with {@link RawConnection#setTimeout} has passed. */
        default void onTimeout() {}

        /**
         * The connection has ended by itself. Called once.
         *
         * @param reason plain words for a log line
         */
        void onClose(String reason);
    }

    /**
     * Input read and discarded after the sending side was shut down; the close does not wait for a
     * peer that sends more.
     */
    private static final long MAX_DISCARDED_BYTES = 256 * 1024;

    private static final Logger LOG = LoggerFactory.getLogger(RawConnection.class);

    private EventListener listener;
    private boolean reading;

    /** Set while the connection closes gracefully; called when it is closed. */
    private Runnable gracefulCloseDone;

    private boolean writesShut;
    private long discardedBytes;

    RawConnection(IoLoop loop, StreamConnection channel) {
        super(loop, channel);
        listenForReadiness();
    }

    /**
     * Creates two connected ends within the program, without a socket.
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

    /** Begins to read for a listener. Called once, before anything else. */
    public void start(EventListener newListener) {
        listener = newListener;
        setReading(true);
    }

    /**
     * Resumes or suspends reading. While reading is suspended, what the peer sends waits in the
     * system's buffers, which holds the peer back.
     */
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

    /**
     * Reads once what the system holds now and passes it to the listener.
     *
     * @return whether there was any
     */
    public boolean readNow() {
        return !isClosed() && reading && readAvailable();
    }

    /** Writes; what the system does not take at once waits, and must not change until written. */
    public void write(ByteBuffer... parts) {
        if (isClosed()) {
            return;
        }
        boolean first = writeQueue.isEmpty();
        for (ByteBuffer part : parts) {
            writeQueue.add(part);
        }
        if (first) {
            onWritable();
        }
    }

    /** Bytes that wait to be written. */
    public long pendingBytes() {
        return writeQueue.pendingBytes();
    }

    /** Bytes that the system has taken since the connection began. */
    public long writtenBytes() {
        return writeQueue.writtenBytes();
    }

    /** Sets the timeout to so many nanoseconds from now, in place of any set before. */
    public void setTimeout(long timeoutNs) {
        if (!isClosed()) {
            deadline.startTimeout(timeoutNs);
        }
    }

    /** Takes the timeout away. */
    public void clearTimeout() {
        if (!isClosed()) {
            deadline.clear();
        }
    }

    /**
     * Whether the connection is closed or closes gracefully: its listener is not called any more.
     */
    public boolean isClosed() {
        return closed || gracefulCloseDone != null;
    }

    /**
     * Closes the connection after what waits has been written. The sending side is then shut down,
     * and what still comes is read and discarded until the peer closes too: closing over unread
     * input would reset the connection and discard what was written.
     *
     * @param timeoutNs longest time until the connection is closed all the same, ns
     * @param onClosed called once its descriptor is free
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
            shutDownOutput();
        }
    }

    /** Closes the connection at once; what waits to be written is lost. */
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

    @Override
    void onReadable() {
        readAvailable();
    }

    // Whether there was any input.
    private boolean readAvailable() {
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
            consume(bytesRead);
        } catch (IOException e) {
            onConnectionLost(String.valueOf(e.getMessage()));
        } catch (RuntimeException e) {
            // A bug in the listener costs this connection, not the thread: the unconsumed bytes
            // would make the socket ready for ever.
            LOG.error("a connection's input could not be processed", e);
            onConnectionLost("a fault here");
        }
        return bytesRead > 0;
    }

    private void consume(int bytesRead) {
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
    }

    private void discard(int count) {
        releaseInput();
        discardedBytes += count;
        if (discardedBytes > MAX_DISCARDED_BYTES) {
            close();
        }
    }

    @Override
    void onWritable() {
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
            // Later: the caller of write is in the middle of something.
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
