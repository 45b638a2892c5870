package brooklock.platform;

import brooklock.net.RawConnection;
import java.nio.ByteBuffer;

/**
 * The output of a client's connection. While too much of it waits to be written, no input is read
 * from the client. While any of it waits, the timeout of the connection is that of the output. Not
 * thread-safe; owned by the I/O thread.
 */
final class ClientOutput {
    // Time within which a client must read at least one byte of the pending output, ns.
    private static final long STALL_TIMEOUT_NS = 5_000_000_000L;
    // Reading from a client is suspended while the output that waits to be written to it takes more
    // memory than this.
    private static final long MAX_PENDING_BYTES = 512 * 1024;
    // Memory of a queued buffer beyond the bytes that it holds: the unused rest of its capacity and
    // two objects. A short response has a dozen bytes, so that counting them alone would count next
    // to nothing.
    private static final long BUFFER_OVERHEAD_BYTES = RpcEncoder.HEAD_CAPACITY_BYTES + 64;

    private final RawConnection transport;
    private final MemoryBudget.Account memory;
    private long reportedBytes;
    private boolean released;
    private boolean batching;
    private boolean pending;
    private long writtenBytesAtLastCheck;

    /**
     * Creates an output.
     *
     * @param transport the connection
     * @param memory the account of the output that waits to be written to all clients
     */
    ClientOutput(RawConnection transport, MemoryBudget.Account memory) {
        this.transport = transport;
        this.memory = memory;
    }

    /**
     * Writes a response, or queues it within a batch. What the socket does not accept is queued,
     * too.
     */
    void write(ByteBuffer... buffers) {
        if (batching) {
            transport.enqueue(buffers);
        } else {
            transport.write(buffers);
            onWritten();
        }
    }

    /**
     * Starts a batch. The responses to all calls in a batch are written together: a system call for
     * each would let a client that sends small calls at full speed occupy the I/O thread.
     */
    void startBatch() {
        batching = true;
    }

    /** Ends a batch and writes its responses. */
    void endBatch() {
        batching = false;
        transport.flush();
        onWritten();
    }

    /** Returns whether a batch has been started and not ended. */
    boolean isBatching() {
        return batching;
    }

    private void onWritten() {
        reportMemory();
        if (transport.isClosed()) {
            return;
        }
        if (transport.pendingBytes() > 0 && !pending) {
            pending = true;
            startTimeout();
        }
        if (pendingBytes() > MAX_PENDING_BYTES) {
            transport.setReading(false);
        }
    }

    private void startTimeout() {
        writtenBytesAtLastCheck = transport.writtenBytes();
        transport.setTimeout(STALL_TIMEOUT_NS);
    }

    /** Returns whether output waits to be written and the timeout is that of the output. */
    boolean isPending() {
        return pending;
    }

    /**
     * Returns the memory of the output that waits to be written, bytes. A connection that closes
     * gracefully keeps its output until it has been written.
     */
    long pendingBytes() {
        return transport.pendingBytes() + transport.pendingBuffers() * BUFFER_OVERHEAD_BYTES;
    }

    /** Records the memory of the output in its account. */
    void reportMemory() {
        long bytes = released ? 0 : pendingBytes();
        memory.add(bytes - reportedBytes);
        reportedBytes = bytes;
    }

    /** Releases the memory of the output for good; called when the connection has closed. */
    void releaseMemory() {
        released = true;
        reportMemory();
    }

    /** Called when all output has been written; resumes reading. */
    void onAllWritten() {
        pending = false;
        reportMemory();
        transport.setReading(true);
    }

    /**
     * Called when the timeout of the connection has passed. If output is pending and the client has
     * read some of it, starts the timeout anew.
     *
     * @return whether the timeout was started anew
     */
    boolean continueAfterTimeout() {
        boolean progressed = pending && transport.writtenBytes() > writtenBytesAtLastCheck;
        if (progressed) {
            startTimeout();
        }
        return progressed;
    }
}
