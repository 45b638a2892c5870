package brooklock.platform;

import brooklock.net.RawConnection;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A connection from a client. Reads calls and writes one response to each; responses may be written
 * in any order. Not thread-safe; owned by the I/O thread.
 *
 * <p>A connection is idle while no request is open, no call is partially read and no response waits
 * to be written; otherwise it is busy.
 *
 * <p>A connection is closed immediately when the client has closed it or does not read its
 * responses. When the client does not complete a message in time, the connection is closed as soon
 * as its open requests have been answered. It is closed gracefully when it has been idle for too
 * long, when it is evicted in favour of a new connection, when the dispatcher shuts down, and when
 * its input is malformed. During a shutdown only a bounded number of messages is processed. Open
 * requests are cancelled when their connection closes.
 */
final class ClientConnection implements RawConnection.EventListener, PartialMessageMemory.Holder {
    /**
     * Maximum number of open calls per connection, set by the protocol; further calls are rejected.
     */
    static final int MAX_OPEN_CALLS = 32;

    // Maximum number of invalid calls per connection that are answered. The next invalid call
    // closes the connection; otherwise a client that sends only invalid calls could keep the
    // dispatcher busy.
    private static final int MAX_INVALID_CALLS = 4;
    // Time for a client to close its side after output has been shut down, ns; enough for many
    // round trips.
    private static final long CLOSE_TIMEOUT_NS = 1_000_000_000L;

    private final ClientListener listener;
    private final RawConnection transport;
    private final ClientOutput output;
    private final ClientInput input;
    private final Map<Long, PendingClientRequest> openRequests = new HashMap<>();
    private final HeldCalls heldCalls = new HeldCalls();
    private long idleSinceNs = System.nanoTime();
    private int invalidCalls;

    ClientConnection(ClientListener listener, RawConnection transport) {
        this.listener = listener;
        this.transport = transport;
        input = new ClientInput(listener);
        output = new ClientOutput(transport, listener.outputMemory());
    }

    /** Starts reading from the client. */
    void start() {
        transport.setTimeout(ClientInput.FIRST_MESSAGE_PROGRESS_TIMEOUT_NS);
        transport.start(this);
    }

    /**
     * Returns whether the connection is not closed and has no open request, no partially read call
     * and no unwritten response.
     */
    boolean isIdle() {
        return !transport.isClosed()
                && openRequests.isEmpty()
                && heldCalls.isEmpty()
                && pendingWriteBytes() == 0
                && !input.isMessageIncomplete();
    }

    /**
     * Closes the connection gracefully if it is idle and the operating system holds no input of it.
     * Input that is available is read instead, for one turn, and the connection stays open:
     * otherwise a call that has arrived but has not been read would be lost. The caller tries again
     * later; reading on until no input is left would let a client that sends at full speed hold the
     * I/O thread for as long as it sends.
     *
     * @return whether the connection is now closing
     */
    boolean closeIfIdle() {
        boolean inputRead = isIdle() && transport.readNow();
        boolean closable = isIdle() && (!inputRead || input.isDiscarding());
        if (closable) {
            closeGracefully();
        }
        return closable;
    }

    private void closeGracefully() {
        if (transport.isClosed()) {
            return;
        }
        listener.partialCalls().update(this, 0);
        listener.onClosing();
        transport.closeGracefully(CLOSE_TIMEOUT_NS, this::onClosedGracefully);
    }

    private void onClosedGracefully() {
        output.releaseMemory();
        listener.onClosed(this);
    }

    /** Records the memory of the output that waits to be written. */
    void reportOutputMemory() {
        output.reportMemory();
    }

    /** Returns whether the client has sent at least one complete message. */
    boolean hasSentMessage() {
        return input.hasReceivedMessage();
    }

    /** Returns the memory of the output that waits to be written, bytes. */
    long pendingWriteBytes() {
        return output.pendingBytes();
    }

    /**
     * Returns when the last message was received or the last response was written, as a {@link
     * System#nanoTime} reading. Meaningful while the connection is idle.
     */
    long idleSinceNs() {
        return idleSinceNs;
    }

    @Override
    public void onBytes(ByteBuffer bytes) {
        output.startBatch();
        try {
            decode(bytes);
        } catch (MalformedMessageException e) {
            closeForFault(e.getMessage());
        } finally {
            endBatch();
        }
    }

    @Override
    public void onReadComplete(boolean drained) {
        if (heldCalls.isDue(drained)) {
            submitHeldCalls();
        }
    }

    private void endBatch() {
        output.endBatch();
        onOutputWritten();
    }

    private void decode(ByteBuffer bytes) throws MalformedMessageException {
        for (RpcMessage message = input.next(bytes);
                message != null && !isGone();
                message = input.next(bytes)) {
            idleSinceNs = System.nanoTime();
            onMessage(message);
        }
        input.onReadEnd(bytes);
        if (input.isOverdue()) {
            closeAfterResponses("a client that takes too long for a message");
        }
        if (!transport.isClosed()) {
            updateTimeout();
            updateHeldMemory();
        }
    }

    private void updateHeldMemory() {
        listener.partialCalls().update(this, input.partialBytes() + heldCalls.bodyBytes());
    }

    private void closeForFault(String reason) {
        listener.logClientFault(reason);
        cancelOpenRequests();
        closeGracefully();
    }

    @Override
    public boolean readAvailable() {
        return transport.readNow();
    }

    // The rest of the call is received and dropped, and the call is rejected. Closing the
    // connection
    // instead would also cost the client the responses to its open requests.
    @Override
    public void giveUpPartialMessage() {
        if (!heldCalls.isEmpty()) {
            submitHeldCalls();
        }
        if (input.discardPartialCall()) {
            listener.partialCalls().update(this, 0);
        } else {
            closeForFault("the partially received calls of all clients take too much memory");
        }
    }

    // Drops the incomplete message and all further input, and closes the connection once its open
    // requests have been answered: these are complete and must not suffer from the incomplete one.
    private void closeAfterResponses(String reason) {
        listener.logClientFault(reason);
        input.discardRest();
        listener.partialCalls().update(this, 0);
        if (!output.isPending()) {
            transport.clearTimeout();
        }
        closeIfAllAnswered();
    }

    private void closeIfAllAnswered() {
        if (input.isDiscarding() && isIdle()) {
            closeGracefully();
        }
    }

    private void updateTimeout() {
        if (output.isPending()) {
            return;
        }
        if (input.isMessageIncomplete()) {
            transport.setTimeout(input.timeoutNs());
        } else if (input.hasReceivedMessage()) {
            transport.clearTimeout();
        }
    }

    private void onMessage(RpcMessage message) throws MalformedMessageException {
        long messageId = message.messageId();
        if (message instanceof RpcMessage.Cancel) {
            cancel(messageId);
            return;
        }
        if (openRequests.containsKey(messageId) || heldCalls.contains(messageId)) {
            throw new MalformedMessageException(
                    "expected a message id that no open call uses but received " + messageId);
        }
        if (message instanceof RpcMessage.DiscardedCall) {
            write(RpcEncoder.error(messageId, RpcError.REJECTED));
        } else if (message instanceof RpcMessage.HealthCheck) {
            write(RpcEncoder.health(messageId, listener.isHealthy()));
        } else if (openRequests.size() + heldCalls.count() >= MAX_OPEN_CALLS) {
            respondClientFault(
                    messageId,
                    RpcError.REJECTED,
                    "expected at most "
                            + MAX_OPEN_CALLS
                            + " open calls per connection but received another call, with message id "
                            + messageId);
        } else {
            heldCalls.add((RpcMessage.Call) message);
        }
    }

    private void cancel(long messageId) {
        if (heldCalls.remove(messageId)) {
            return;
        }
        PendingClientRequest request = openRequests.remove(messageId);
        if (request != null) {
            listener.executor().cancelByClient(request);
        }
    }

    private void submitHeldCalls() {
        output.startBatch();
        try {
            for (RpcMessage.Call call : heldCalls.removeAll()) {
                if (!isGone()) {
                    submit(call);
                }
            }
        } catch (MalformedMessageException e) {
            closeForFault(e.getMessage());
        } finally {
            endBatch();
        }
        if (!transport.isClosed()) {
            updateHeldMemory();
        }
    }

    // Returns whether no response can reach the client any more.
    private boolean isGone() {
        return transport.isClosed() || transport.isOutputLost();
    }

    private void submit(RpcMessage.Call call) throws MalformedMessageException {
        long messageId = call.messageId();
        ClientRequest clientRequest;
        try {
            clientRequest = ClientRequestParser.parse(call, listener.requestClasses());
        } catch (InvalidRequestException e) {
            respondClientFault(messageId, RpcError.INVALID, e.getMessage());
            return;
        }
        RequestExecutor executor = listener.executor();
        if (executor.isIdInUse(clientRequest)) {
            respondClientFault(
                    messageId,
                    RpcError.INVALID,
                    "expected a new request id in field "
                            + ClientRequestParser.ID
                            + " but received one that is in use in the call with message id "
                            + messageId);
        } else if (listener.isRejectingRequests() || !executor.canAccept(clientRequest)) {
            write(RpcEncoder.error(messageId, RpcError.REJECTED));
        } else {
            PendingClientRequest request = executor.accept(clientRequest, this, messageId);
            openRequests.put(messageId, request);
            executor.route(request);
        }
    }

    /**
     * Responds with an error to a call that violates the protocol or exceeds the number of open
     * calls, and counts it as invalid.
     *
     * @param reason the violation, for the log
     * @throws MalformedMessageException if the connection has had too many invalid calls
     */
    private void respondClientFault(long messageId, RpcError error, String reason)
            throws MalformedMessageException {
        listener.executor().stats().recordInvalid();
        listener.logClientFault(reason);
        if (++invalidCalls > MAX_INVALID_CALLS) {
            throw new MalformedMessageException(
                    "expected at most "
                            + MAX_INVALID_CALLS
                            + " invalid calls per connection but received another, with message id "
                            + messageId);
        }
        write(RpcEncoder.error(messageId, error));
    }

    /**
     * Sends the final response to a request. Does nothing if the client has cancelled it.
     *
     * @param response the encoded response, with the message id of the request
     */
    void respond(PendingClientRequest request, ByteBuffer... response) {
        if (openRequests.remove(request.messageId(), request)) {
            write(response);
        }
    }

    private void write(ByteBuffer... buffers) {
        idleSinceNs = System.nanoTime();
        output.write(buffers);
        if (!output.isBatching()) {
            onOutputWritten();
        }
    }

    private void onOutputWritten() {
        listener.onOutputQueued();
        closeIfAllAnswered();
    }

    @Override
    public void onAllWritten() {
        output.onAllWritten();
        updateTimeout();
        closeIfAllAnswered();
    }

    @Override
    public void onTimeout() {
        if (output.continueAfterTimeout()) {
            return;
        }
        if (output.isPending() || openRequests.isEmpty()) {
            listener.logClientFault(
                    "a client that neither sends nor reads; its connection is closed");
            close();
        } else {
            closeAfterResponses("a client that does not complete its message");
        }
    }

    @Override
    public void onClose(String reason) {
        close();
    }

    /** Closes the connection immediately and cancels its open requests. */
    void close() {
        transport.close();
        output.releaseMemory();
        listener.partialCalls().update(this, 0);
        listener.remove(this);
        cancelOpenRequests();
    }

    private void cancelOpenRequests() {
        heldCalls.removeAll();
        for (PendingClientRequest request : List.copyOf(openRequests.values())) {
            listener.executor().cancelByClient(request);
        }
        openRequests.clear();
    }
}
