package brooklock.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.ChannelPipe;
import org.xnio.StreamConnection;

/**
 * A connection that carries a protocol other than HTTP, with one movable timeout.
 *
 * <p>Not thread-safe: all methods must be called on the connection's I/O thread, {@link #start}
 * before any other. The connection ends with {@link #close} or {@link #closeGracefully}, or when
 * the listener's {@link EventListener#onClose} is called.
 *
 * <p>A turn of reading takes at most one full buffer, so that a peer that sends at full speed does
 * not starve the other connections of the thread.
 */
public final class RawConnection extends Connection {
    /**
     * Receives the events of a connection and implements its protocol. All methods are called on
     * the connection's I/O thread, after {@link RawConnection#start}; none is called after {@link
     * #onClose}, {@link RawConnection#close} or {@link RawConnection#closeGracefully}.
     */
    public interface EventListener {
        /**
         * Consumes input. Bytes that remain in the buffer are passed again, followed by those that
         * arrive next. If a full buffer of {@value BufferPool#BUFFER_BYTES} bytes remains, the
         * connection is closed, since no further input could be read.
         *
         * @param input the input, valid during this call only
         */
        void onBytes(ByteBuffer input);

        /**
         * Called at the end of each turn of reading in which {@link #onBytes} has been called, or
         * which follows one that has left input, unless the connection was closed in it. If the
         * peer has closed the connection right after its last bytes, {@link #onClose} is called
         * instead, so that a listener can defer work until the peer is known to be still there.
         *
         * @param drained whether no input is left; otherwise this method is called again
         */
        default void onReadComplete(boolean drained) {}

        /** Called when the socket has accepted all output that had been queued. */
        default void onAllWritten() {}

        /** Called once when the timeout set with {@link RawConnection#setTimeout} has passed. */
        default void onTimeout() {}

        /**
         * Called once when the connection is closed by the peer or by an error, but not after a
         * close by this side.
         *
         * @param reason the reason, as text for a log line
         */
        void onClose(String reason);
    }

    /**
     * Maximum number of bytes read and discarded during a graceful close. The connection is closed
     * at once if the peer sends more, so that such a peer cannot delay the close.
     */
    private static final long MAX_DISCARDED_BYTES = 256 * 1024;

    private static final Logger LOG = LoggerFactory.getLogger(RawConnection.class);

    private EventListener listener;
    private boolean reading;

    /** Called when a graceful close is complete; null unless one has been started. */
    private Runnable gracefulCloseCallback;

    private boolean outputShutDown;

    private boolean outputLost;
    private final EndOfInputTimer endOfInputTimer;

    /** Whether the last turn of reading has left no input. */
    private boolean drained = true;

    private long discardedBytes;

    RawConnection(IoLoop loop, StreamConnection channel) {
        super(loop, channel);
        endOfInputTimer = new EndOfInputTimer(loop, this::onNoTurnFollowed);
        listenForReadiness();
    }

    /**
     * Creates a pair of connections that are connected to each other within this process, without a
     * socket.
     *
     * @param loop the I/O thread of both connections
     * @throws IOException if no file descriptor is available
     */
    public static RawConnection[] pair(IoLoop loop) throws IOException {
        ChannelPipe<StreamConnection, StreamConnection> pipe =
                loop.thread.createFullDuplexPipeConnection();
        return new RawConnection[] {
            new RawConnection(loop, pipe.getLeftSide()),
            new RawConnection(loop, pipe.getRightSide())
        };
    }

    /** Starts reading and passes events to the listener. Called once, before any other method. */
    public void start(EventListener newListener) {
        listener = newListener;
        setReading(true);
    }

    /**
     * Resumes or suspends reading. While reading is suspended, the system's socket buffers fill up
     * and TCP flow control stops the peer.
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
     * Takes a turn of reading: reads input that is available now and passes it to the listener.
     * Does nothing while reading is suspended or after a close.
     *
     * @return whether any input was available
     */
    public boolean readNow() {
        return !isClosed() && readTurn();
    }

    /**
     * Writes buffers. Output that the socket does not accept at once is queued in an unbounded
     * queue; {@link EventListener#onAllWritten} is called once all of it has been written. Does
     * nothing after a close.
     *
     * @param buffers the buffers, which must not be modified until they are written
     */
    public void write(ByteBuffer... buffers) {
        boolean wasEmpty = writeQueue.isEmpty();
        enqueue(buffers);
        if (wasEmpty) {
            flush();
        }
    }

    /**
     * Queues buffers that {@link #flush} or {@link #closeGracefully} will write. Does nothing after
     * a close.
     *
     * @param buffers the buffers, which must not be modified until they are written
     */
    public void enqueue(ByteBuffer... buffers) {
        if (!isClosed()) {
            for (ByteBuffer buffer : buffers) {
                writeQueue.add(buffer);
            }
        }
    }

    /** Writes the buffers that have been queued. Does nothing after a close. */
    public void flush() {
        if (!isClosed() && !writeQueue.isEmpty()) {
            onWritable();
        }
    }

    /** Returns the number of bytes that are queued to be written. */
    public long pendingBytes() {
        return writeQueue.pendingBytes();
    }

    /** Returns the number of buffers that are queued to be written. */
    public int pendingBuffers() {
        return writeQueue.pendingBuffers();
    }

    /** Returns the number of bytes that the socket has accepted since the connection was opened. */
    public long writtenBytes() {
        return writeQueue.writtenBytes();
    }

    /** Sets the timeout to {@code timeoutNs} nanoseconds from now, replacing the previous one. */
    public void setTimeout(long timeoutNs) {
        if (!isClosed()) {
            deadline.startTimeout(timeoutNs);
        }
    }

    /** Removes the timeout. */
    public void clearTimeout() {
        if (!isClosed()) {
            deadline.clear();
        }
    }

    /**
     * Returns whether the connection is closed or a graceful close has been started; the listener
     * is not called any more in either case.
     */
    public boolean isClosed() {
        return closed || gracefulCloseCallback != null;
    }

    /**
     * Returns whether a write has failed, so that the peer receives no more output. The close of
     * the connection is reported in a later task.
     */
    public boolean isOutputLost() {
        return outputLost;
    }

    /**
     * Closes the connection once the queued output has been written. The sending side is then shut
     * down, and further input is read and discarded until the peer closes too: a socket closed with
     * unread input resets the connection, and the peer might lose what was written. Does nothing if
     * the connection is closed or a graceful close has been started.
     *
     * @param timeoutNs maximum duration of the graceful close in nanoseconds, after which the
     *     connection is closed at once
     * @param onClosed called once the connection's file descriptor has been released
     */
    public void closeGracefully(long timeoutNs, Runnable onClosed) {
        if (isClosed()) {
            return;
        }
        setReading(true);
        deadline.startTimeout(timeoutNs);
        gracefulCloseCallback = onClosed;
        releaseInput();
        try {
            flushOutput();
            shutDownOutputOnceFlushed();
        } catch (IOException e) {
            close();
        }
    }

    private void shutDownOutputOnceFlushed() throws IOException {
        if (!outputShutDown && writeQueue.isEmpty()) {
            outputShutDown = true;
            shutDownOutput();
        }
    }

    /** Closes the connection at once and discards queued output; the listener is not called. */
    public void close() {
        if (closeOnce() && gracefulCloseCallback != null) {
            gracefulCloseCallback.run();
        }
    }

    @Override
    void onTimeout() {
        if (gracefulCloseCallback != null) {
            close();
        } else if (!closed) {
            listener.onTimeout();
        }
    }

    @Override
    void onReadable() {
        readTurn();
    }

    // Reads until no input is left, but at most one full buffer; a buffer with room left does not
    // tell whether the peer has closed the connection. Returns whether any input was available.
    private boolean readTurn() {
        endOfInputTimer.onTurn();
        boolean wasDrained = drained;
        ReadResult result = readOnce();
        boolean inputRead = result != ReadResult.NOTHING;
        for (int reads = 1; result == ReadResult.PART && reads < MAX_READS_PER_TURN; reads++) {
            result = readOnce();
        }
        drained = result == ReadResult.NOTHING;
        if (inputRead || !wasDrained) {
            onReadComplete();
        }
        return inputRead;
    }

    private void onReadComplete() {
        if (!drained) {
            endOfInputTimer.schedule();
        }
        if (!isClosed()) {
            callListener(() -> listener.onReadComplete(drained));
        }
    }

    private void onNoTurnFollowed() {
        if (!closed && !drained) {
            drained = true;
            onReadComplete();
        }
    }

    private enum ReadResult {
        NOTHING,
        PART,
        FULL_BUFFER
    }

    private ReadResult readOnce() {
        if (closed || !reading) {
            return ReadResult.NOTHING;
        }
        try {
            int bytesRead = readInput();
            if (bytesRead < 0) {
                onConnectionLost("closed by the peer");
            } else if (gracefulCloseCallback != null) {
                discard(bytesRead);
            } else {
                ReadResult result =
                        bytesRead == 0
                                ? ReadResult.NOTHING
                                : input.hasRemaining() ? ReadResult.PART : ReadResult.FULL_BUFFER;
                callListener(() -> consume(bytesRead));
                return result;
            }
        } catch (IOException e) {
            onConnectionLost(String.valueOf(e.getMessage()));
        }
        return ReadResult.NOTHING;
    }

    // A bug in the listener closes only this connection. If it stayed open, the listener would get
    // its unconsumed bytes again and again.
    private void callListener(Runnable call) {
        try {
            call.run();
        } catch (RuntimeException e) {
            LOG.error("a connection's input could not be processed", e);
            onConnectionLost("internal error while processing input");
        }
    }

    private void consume(int bytesRead) {
        input.flip();
        if (bytesRead > 0) {
            listener.onBytes(input);
        }
        if (!isClosed()) {
            keepUnconsumed();
            if (isInputFull()) {
                onConnectionLost(
                        "the listener left a full input buffer of "
                                + BufferPool.BUFFER_BYTES
                                + " bytes unconsumed");
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
            if (gracefulCloseCallback != null) {
                shutDownOutputOnceFlushed();
            } else if (drained) {
                listener.onAllWritten();
            }
        } catch (IOException e) {
            // Reported in a later task: the caller of write does not expect onClose to be called
            // before write returns.
            outputLost = true;
            String reason = String.valueOf(e.getMessage());
            loop.execute(() -> onConnectionLost(reason));
        }
    }

    private void onConnectionLost(String reason) {
        if (gracefulCloseCallback != null) {
            close();
        } else if (closeOnce()) {
            listener.onClose(reason);
        }
    }
}
