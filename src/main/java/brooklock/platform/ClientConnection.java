package brooklock.platform;

import brooklock.net.RawConnection;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * One client's connection: calls in, one response to each, in any order. Owned by the I/O thread.
 *
 * <p>It is idle while no request is open, no call is half read and no response waits to be written;
 * else it is busy. It ends in one of two ways. It is closed at once when the client has closed it,
 * is silent within a message or takes none of its responses. It is closed gracefully when it is
 * idle for too long, has to make room, the dispatcher shuts down, or its bytes can't be read: what
 * waits is written, the sending side is shut, and what still comes is read and dropped until the
 * client closes its side. A close over unread bytes would reset the connection and take written
 * responses with it. Open requests are cancelled when their connection closes.
 */
final class ClientConnection implements RawConnection.EventListener {
    /** Calls open on one connection; the protocol's bound, further ones are rejected. */
    static final int MAX_OPEN_CALLS = 32;

    // Invalid calls before their connection is closed: a client that sends nothing else must cost
    // little more.
    private static final int MAX_INVALID_CALLS = 4;
    // Time in which more of a message has to come, and the first byte on a new connection, ns.
    private static final long MESSAGE_PROGRESS_TIMEOUT_NS = 2_000_000_000L;
    // Time in which a client has to take a byte of what waits for it, ns.
    private static final long WRITE_STALL_TIMEOUT_NS = 5_000_000_000L;
    // Time for a client to close its side once ours is shut, ns: many round trips.
    private static final long CLOSE_TIMEOUT_NS = 1_000_000_000L;
    // Bytes that may wait for a client before no more calls are read from it.
    private static final long MAX_PENDING_WRITE_BYTES = 512 * 1024;

    private final ClientListener listener;
    private final RawConnection transport;
    private final RpcDecoder decoder = new RpcDecoder();
    private final Map<Long, PendingClientRequest> openRequests = new HashMap<>();
    private final Map<Long, RpcMessage.Call> receivedCalls = new LinkedHashMap<>();
    private long idleSinceNs = System.nanoTime();
    private long messageStartedAtNs;
    private long writtenAtLastCheck;
    private int invalidCalls;
    private boolean hasSentMessage;
    private boolean writeStalled;
    private boolean messageIncomplete;

    ClientConnection(ClientListener listener, RawConnection transport) {
        this.listener = listener;
        this.transport = transport;
    }

    /** Begins to read. */
    void start() {
        transport.setTimeout(MESSAGE_PROGRESS_TIMEOUT_NS);
        transport.start(this);
    }

    /** Returns whether no request is open, no call half read and no response unwritten. */
    boolean isIdle() {
        return !transport.isClosed()
                && openRequests.isEmpty()
                && pendingWriteBytes() == 0
                && !messageIncomplete;
    }

    /**
     * Closes gracefully if the connection is idle, even after everything has been read that the
     * operating system holds for it.
     *
     * @return whether it is closing
     */
    boolean closeIfIdle() {
        while (isIdle() && transport.readNow()) {
            // A call that has come makes the connection busy.
        }
        boolean idle = isIdle();
        if (idle) {
            closeGracefully();
        }
        return idle;
    }

    private void closeGracefully() {
        listener.onClosing();
        transport.closeGracefully(CLOSE_TIMEOUT_NS, () -> listener.onClosed(this));
    }

    /** Returns whether the client has sent a whole message. */
    boolean hasSentMessage() {
        return hasSentMessage;
    }

    /** Returns how many bytes wait to be written; 0 once it is closed. */
    long pendingWriteBytes() {
        return transport.isClosed() ? 0 : transport.pendingBytes();
    }

    /** Returns since when it has been idle, as a reading of {@link System#nanoTime}. */
    long idleSinceNs() {
        return idleSinceNs;
    }

    @Override
    public void onBytes(ByteBuffer in) {
        try {
            boolean messageBegins = !messageIncomplete;
            for (RpcMessage message = decoder.next(in);
                    message != null && !transport.isClosed();
                    message = decoder.next(in)) {
                hasSentMessage = true;
                messageBegins = true;
                idleSinceNs = System.nanoTime();
                onMessage(message);
            }
            messageIncomplete = decoder.inMessage() || in.hasRemaining();
            checkMessageDuration(messageBegins);
            submitReceivedCalls();
            if (!transport.isClosed()) {
                updateTimeout();
            }
        } catch (MalformedMessageException e) {
            listener.logClientFault(e.getMessage());
            cancelOpenRequests();
            closeGracefully();
        }
    }

    // A client that sends byte by byte keeps the progress timeout from expiring, and would hold its
    // connection for ever.
    private void checkMessageDuration(boolean messageBegins) throws MalformedMessageException {
        if (messageBegins) {
            messageStartedAtNs = System.nanoTime();
        } else if (System.nanoTime() - messageStartedAtNs > listener.messageTimeoutNs()) {
            throw new MalformedMessageException("a message that takes too long");
        }
    }

    private void updateTimeout() {
        if (writeStalled) {
            return;
        }
        if (messageIncomplete) {
            transport.setTimeout(MESSAGE_PROGRESS_TIMEOUT_NS);
        } else if (hasSentMessage) {
            transport.clearTimeout();
        }
    }

    private void onMessage(RpcMessage message) throws MalformedMessageException {
        long messageId = message.messageId();
        if (message instanceof RpcMessage.Cancel) {
            cancel(messageId);
            return;
        }
        if (openRequests.containsKey(messageId) || receivedCalls.containsKey(messageId)) {
            throw new MalformedMessageException("message " + messageId + " twice");
        }
        if (message instanceof RpcMessage.HealthCheck) {
            write(RpcEncoder.health(messageId, listener.healthy()));
        } else if (openRequests.size() + receivedCalls.size() >= MAX_OPEN_CALLS) {
            respondClientFault(
                    messageId, RpcError.REJECTED, "more than " + MAX_OPEN_CALLS + " calls open");
        } else {
            receivedCalls.put(messageId, (RpcMessage.Call) message);
        }
    }

    private void cancel(long messageId) {
        if (receivedCalls.remove(messageId) != null) {
            return;
        }
        PendingClientRequest request = openRequests.remove(messageId);
        if (request != null) {
            listener.executor().cancelByClient(request);
        }
    }

    // Calls that came in one read are submitted together, after it: one that is cancelled in the
    // same read reaches no endpoint.
    private void submitReceivedCalls() throws MalformedMessageException {
        for (RpcMessage.Call call : receivedCalls.values()) {
            submit(call);
        }
        receivedCalls.clear();
    }

    private void submit(RpcMessage.Call call) throws MalformedMessageException {
        long messageId = call.messageId();
        ClientRequest clientRequest;
        try {
            clientRequest = ClientRequestParser.parse(call, listener.classes());
        } catch (InvalidRequestException e) {
            respondClientFault(messageId, RpcError.INVALID, e.getMessage());
            return;
        }
        RequestExecutor executor = listener.executor();
        if (executor.isOpen(clientRequest.id())) {
            respondClientFault(messageId, RpcError.INVALID, "a request id that is open");
        } else if (listener.isRejectingRequests() || !executor.hasRoomFor(clientRequest)) {
            write(RpcEncoder.error(messageId, RpcError.REJECTED));
        } else {
            PendingClientRequest request = executor.accept(clientRequest, this, messageId);
            openRequests.put(messageId, request);
            executor.route(request);
        }
    }

    /**
     * Answers a call that breaks the protocol, or one above the bound of open calls, and counts it
     * as invalid; a client that makes too many of them loses its connection.
     */
    private void respondClientFault(long messageId, RpcError error, String reason)
            throws MalformedMessageException {
        listener.executor().stats().invalid();
        listener.logClientFault(reason);
        if (++invalidCalls > MAX_INVALID_CALLS) {
            throw new MalformedMessageException("too many invalid calls");
        }
        write(RpcEncoder.error(messageId, error));
    }

    /** Sends the final response: an object, or that the client's copy is current. */
    void respondServed(PendingClientRequest request, AttemptResult result) {
        if (closeRequest(request)) {
            write(
                    result.notModified()
                            ? RpcEncoder.notModified(request.messageId())
                            : RpcEncoder.served(request.messageId(), result.body()));
        }
    }

    /**
     * Sends the final response: rejected, and a retry is harmless.
     *
     * @param retryAfterNs when the client may retry, ns from now; 0 if nothing is said
     */
    void respondRejected(PendingClientRequest request, long retryAfterNs) {
        if (closeRequest(request)) {
            write(RpcEncoder.rejected(request.messageId(), retryAfterNs));
        }
    }

    /** Sends the final response: failed. */
    void respondFailed(PendingClientRequest request) {
        if (closeRequest(request)) {
            write(RpcEncoder.error(request.messageId(), RpcError.FAILED));
        }
    }

    private boolean closeRequest(PendingClientRequest request) {
        return openRequests.remove(request.messageId(), request);
    }

    private void write(ByteBuffer... parts) {
        idleSinceNs = System.nanoTime();
        transport.write(parts);
        if (transport.pendingBytes() > 0 && !writeStalled) {
            writeStalled = true;
            writtenAtLastCheck = transport.writtenBytes();
            transport.setTimeout(WRITE_STALL_TIMEOUT_NS);
        }
        if (transport.pendingBytes() > MAX_PENDING_WRITE_BYTES) {
            transport.setReading(false);
        }
        if (transport.pendingBytes() > 0) {
            listener.onWriteBacklog();
        }
    }

    @Override
    public void onAllWritten() {
        writeStalled = false;
        transport.setReading(true);
        updateTimeout();
    }

    @Override
    public void onTimeout() {
        if (writeStalled && transport.writtenBytes() > writtenAtLastCheck) {
            writtenAtLastCheck = transport.writtenBytes();
            transport.setTimeout(WRITE_STALL_TIMEOUT_NS);
        } else {
            listener.logClientFault("a client that neither sends nor reads");
            close();
        }
    }

    @Override
    public void onClose(String reason) {
        close();
    }

    /** Closes it at once and cancels its requests. */
    void close() {
        transport.close();
        listener.remove(this);
        cancelOpenRequests();
    }

    private void cancelOpenRequests() {
        for (PendingClientRequest request : List.copyOf(openRequests.values())) {
            listener.executor().cancelByClient(request);
        }
        openRequests.clear();
    }
}
