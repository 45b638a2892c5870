package brooklock.platform;

import brooklock.net.RawConnection;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * One client's connection: calls in, one answer to each, in any order. Belongs to the I/O thread.
 */
final class ClientConnection implements RawConnection.EventListener {
    /** Calls open on one connection; the protocol's bound, further ones are refused. */
    static final int MAX_OPEN_CALLS = 32;

    // Messages out of order before their connection is closed: a client that sends nothing else
    // costs little more.
    private static final int MAX_INVALID_CALLS = 4;
    // Time in which more of a message has to come, and a new connection's first byte, ns.
    private static final long MESSAGE_PROGRESS_TIMEOUT_NS = 2_000_000_000L;
    // Time in which a client takes not one byte of what waits for it, ns.
    private static final long WRITE_STALL_TIMEOUT_NS = 5_000_000_000L;
    // Time for a client to close its side once ours is shut, ns; many round trips.
    private static final long CLOSE_TIMEOUT_NS = 1_000_000_000L;
    // Bytes that may wait for a client before no more calls are read from it.
    private static final long MAX_PENDING_WRITE_BYTES = 512 * 1024;

    private final ClientListener listener;
    private final RawConnection stream;
    private final RpcDecoder decoder = new RpcDecoder();
    private final Map<Long, PendingRequest> openRequests = new HashMap<>();
    private final Map<Long, RpcMessage.Call> receivedCalls = new LinkedHashMap<>();
    private long idleSinceNs = System.nanoTime();
    private long messageStartedAtNs;
    private long writtenAtLastCheck;
    private int invalidCalls;
    private boolean hasSentMessage;
    private boolean writeStalled;
    private boolean messageIncomplete;

    ClientConnection(ClientListener listener, RawConnection stream) {
        this.listener = listener;
        this.stream = stream;
    }

    void start() {
        stream.setTimeout(MESSAGE_PROGRESS_TIMEOUT_NS);
        stream.start(this);
    }

    /** Whether nothing is open here and no call is half read. */
    boolean isIdle() {
        return !stream.isClosed()
                && openRequests.isEmpty()
                && pendingWriteBytes() == 0
                && !messageIncomplete;
    }

    /**
     * Ends in order if nothing is open here even after what the system holds has been read; whether
     * it does.
     */
    boolean closeIfIdle() {
        while (isIdle() && stream.readNow()) {
            // A call that has come is taken, and this one is not idle any more.
        }
        boolean idle = isIdle();
        if (idle) {
            closeGracefully();
        }
        return idle;
    }

    private void closeGracefully() {
        listener.onClosing();
        stream.closeGracefully(CLOSE_TIMEOUT_NS, () -> listener.onClosed(this));
    }

    boolean hasSentMessage() {
        return hasSentMessage;
    }

    /** Bytes that wait to be written; none once it is closed. */
    long pendingWriteBytes() {
        return stream.isClosed() ? 0 : stream.pendingBytes();
    }

    long idleSinceNs() {
        return idleSinceNs;
    }

    @Override
    public void onBytes(ByteBuffer in) {
        try {
            boolean messageBegins = !messageIncomplete;
            for (RpcMessage message = decoder.next(in);
                    message != null && !stream.isClosed();
                    message = decoder.next(in)) {
                hasSentMessage = true;
                messageBegins = true;
                idleSinceNs = System.nanoTime();
                onMessage(message);
            }
            messageIncomplete = decoder.inMessage() || in.hasRemaining();
            if (messageBegins) {
                messageStartedAtNs = System.nanoTime();
            } else if (System.nanoTime() - messageStartedAtNs > listener.messageTimeoutNs()) {
                throw new MalformedMessageException("a message that takes too long");
            }
            submitReceivedCalls();
            if (!stream.isClosed()) {
                updateDeadline();
            }
        } catch (MalformedMessageException e) {
            listener.logClientFault(e.getMessage());
            cancelOpenRequests();
            closeGracefully();
        }
    }

    private void updateDeadline() {
        if (writeStalled) {
            return;
        }
        if (messageIncomplete) {
            stream.setTimeout(MESSAGE_PROGRESS_TIMEOUT_NS);
        } else if (hasSentMessage) {
            stream.clearTimeout();
        }
    }

    private void onMessage(RpcMessage message) throws MalformedMessageException {
        if (message instanceof RpcMessage.Cancel cancel) {
            if (receivedCalls.remove(cancel.messageId()) != null) {
                return;
            }
            PendingRequest request = openRequests.remove(cancel.messageId());
            if (request != null) {
                listener.executor().cancelByClient(request);
            }
            return;
        }
        RpcMessage.Call call = (RpcMessage.Call) message;
        if (openRequests.containsKey(call.messageId())
                || receivedCalls.containsKey(call.messageId())) {
            throw new MalformedMessageException("message " + call.messageId() + " twice");
        }
        if (call.method().equals("isWell")) {
            write(RpcEncoder.health(call.messageId(), listener.healthy()));
        } else if (openRequests.size() + receivedCalls.size() >= MAX_OPEN_CALLS) {
            rejectInvalid(call, "Overloaded", "more than " + MAX_OPEN_CALLS + " calls open");
        } else {
            receivedCalls.put(call.messageId(), call);
        }
    }

    // What has come together is looked at together: a call that is taken back in the same breath is
    // none.
    private void submitReceivedCalls() throws MalformedMessageException {
        for (RpcMessage.Call call : receivedCalls.values()) {
            submit(call);
        }
        receivedCalls.clear();
    }

    private void submit(RpcMessage.Call call) throws MalformedMessageException {
        ClientRequest clientRequest;
        try {
            clientRequest = ClientRequest.parse(call, listener.classes());
        } catch (MalformedMessageException e) {
            rejectInvalid(call, "Invalid", e.getMessage());
            return;
        }
        if (listener.executor().isOpen(clientRequest.id())) {
            rejectInvalid(call, "Invalid", "an id that is open");
        } else if (listener.rejectingRequests()
                || !listener.executor()
                        .accept(
                                clientRequest,
                                this,
                                call.messageId(),
                                request -> openRequests.put(call.messageId(), request))) {
            write(RpcEncoder.error(call.messageId(), "Overloaded", Map.of()));
        }
    }

    private void rejectInvalid(RpcMessage.Call call, String errorName, String reason)
            throws MalformedMessageException {
        listener.executor().stats().invalid();
        listener.logClientFault(reason);
        if (++invalidCalls > MAX_INVALID_CALLS) {
            throw new MalformedMessageException("too much out of order");
        }
        write(RpcEncoder.error(call.messageId(), errorName, Map.of()));
    }

    /** The final answer: an object, or that the client's copy is the one. */
    void respondServed(PendingRequest request, Frame response) {
        if (openRequests.remove(request.messageId, request)) {
            boolean notModified = response.code() == Frame.NOT_MODIFIED;
            write(
                    RpcEncoder.served(
                            request.messageId,
                            notModified ? new byte[0] : response.body(),
                            notModified ? Map.of("notmod", "1") : Map.of()));
        }
    }

    /** The final answer: declined, and trying again is harmless. */
    void respondRejected(PendingRequest request, long retryAfterNs) {
        if (openRequests.remove(request.messageId, request)) {
            write(
                    RpcEncoder.error(
                            request.messageId,
                            "Overloaded",
                            retryAfterNs > 0
                                    ? Map.of(
                                            "w",
                                            Long.toString(Math.max(1, retryAfterNs / 1_000_000)))
                                    : Map.of()));
        }
    }

    /** The final answer: failed. */
    void respondFailed(PendingRequest request) {
        if (openRequests.remove(request.messageId, request)) {
            write(RpcEncoder.error(request.messageId, "Internal", Map.of()));
        }
    }

    private void write(ByteBuffer... parts) {
        idleSinceNs = System.nanoTime();
        stream.write(parts);
        if (stream.pendingBytes() > 0 && !writeStalled) {
            writeStalled = true;
            writtenAtLastCheck = stream.writtenBytes();
            stream.setTimeout(WRITE_STALL_TIMEOUT_NS);
        }
        if (stream.pendingBytes() > MAX_PENDING_WRITE_BYTES) {
            stream.setReading(false);
        }
        if (stream.pendingBytes() > 0) {
            listener.onWriteBacklog();
        }
    }

    @Override
    public void onAllWritten() {
        writeStalled = false;
        stream.setReading(true);
        updateDeadline();
    }

    @Override
    public void onTimeout() {
        if (writeStalled && stream.writtenBytes() > writtenAtLastCheck) {
            writtenAtLastCheck = stream.writtenBytes();
            stream.setTimeout(WRITE_STALL_TIMEOUT_NS);
        } else {
            listener.logClientFault("a client that neither sends nor takes");
            close();
        }
    }

    @Override
    public void onClose(String why) {
        close();
    }

    void close() {
        stream.close();
        listener.remove(this);
        cancelOpenRequests();
    }

    private void cancelOpenRequests() {
        for (PendingRequest request : List.copyOf(openRequests.values())) {
            listener.executor().cancelByClient(request);
        }
        openRequests.clear();
    }
}
