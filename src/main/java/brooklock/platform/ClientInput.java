package brooklock.platform;

import java.nio.ByteBuffer;

/**
 * The input of a client's connection: decodes its messages and bounds the duration of each and,
 * once the dispatcher shuts down, their number. Not thread-safe; owned by the I/O thread.
 *
 * <p>For each read, {@link #next} is called until it returns null, and then {@link #onReadEnd}.
 */
final class ClientInput {
    // Maximum number of messages that are processed after the shutdown has begun: several times the
    // open calls of a client that cancels or repeats each of them. Further input is discarded;
    // otherwise a client that never stops sending could prevent the shutdown.
    private static final int MAX_MESSAGES_DURING_SHUTDOWN = 8 * ClientConnection.MAX_OPEN_CALLS;

    /**
     * Time within which the next bytes of the first message, or the first byte on a new connection,
     * must arrive, ns. Later messages are bounded by their whole duration only.
     */
    static final long FIRST_MESSAGE_PROGRESS_TIMEOUT_NS = 2_000_000_000L;

    private final ClientListener listener;
    private RpcDecoder decoder = new RpcDecoder();
    private long messageStartedAtNs;
    private int messagesDuringShutdown;
    private boolean hasReceivedMessage;
    private boolean messageReceivedInRead;
    private boolean messageIncomplete;
    private boolean discarding;

    /**
     * Creates an input without messages.
     *
     * @param listener states the maximum duration of a message and whether a shutdown has begun
     */
    ClientInput(ClientListener listener) {
        this.listener = listener;
    }

    /**
     * Decodes the next message.
     *
     * @return the message, or null if more bytes are needed or the input is discarded
     * @throws MalformedMessageException if the bytes are not a valid message
     */
    RpcMessage next(ByteBuffer bytes) throws MalformedMessageException {
        discarding |= messagesDuringShutdown == MAX_MESSAGES_DURING_SHUTDOWN;
        if (discarding) {
            bytes.position(bytes.limit());
            return null;
        }
        RpcMessage message = decoder.next(bytes);
        if (message != null) {
            hasReceivedMessage = true;
            messageReceivedInRead = true;
            messagesDuringShutdown += listener.isRejectingRequests() ? 1 : 0;
        }
        return message;
    }

    /** Called after the last message of a read, with the bytes that are left. */
    void onReadEnd(ByteBuffer bytes) {
        if (messageReceivedInRead || !messageIncomplete) {
            messageStartedAtNs = System.nanoTime();
        }
        messageReceivedInRead = false;
        messageIncomplete = !discarding && (decoder.hasPartialMessage() || bytes.hasRemaining());
    }

    /** Returns whether at least one complete message has been received. */
    boolean hasReceivedMessage() {
        return hasReceivedMessage;
    }

    /** Returns whether a message has been received in part. */
    boolean isMessageIncomplete() {
        return messageIncomplete;
    }

    // The duration of a whole message is bounded because the progress timeout alone is not enough:
    // a
    // client that sends one byte at a time restarts it with each byte and could occupy its
    // connection indefinitely.
    private long remainingMessageTimeNs() {
        return listener.messageTimeoutNs() - (System.nanoTime() - messageStartedAtNs);
    }

    /** Returns whether the incomplete message has taken too long. */
    boolean isOverdue() {
        return messageIncomplete && remainingMessageTimeNs() < 0;
    }

    /** Returns the time within which more bytes of the incomplete message must arrive, ns. */
    long timeoutNs() {
        long remainingNs = Math.max(1, remainingMessageTimeNs());
        return hasReceivedMessage
                ? remainingNs
                : Math.min(remainingNs, FIRST_MESSAGE_PROGRESS_TIMEOUT_NS);
    }

    /** Discards the incomplete message and all further input. */
    void discardRest() {
        discarding = true;
        messageIncomplete = false;
        decoder = new RpcDecoder();
    }

    /** Returns whether all input is discarded. */
    boolean isDiscarding() {
        return discarding;
    }

    /** Returns the memory of the incomplete message, bytes; 0 if there is none. */
    int partialBytes() {
        return discarding ? 0 : decoder.partialBytes();
    }

    /**
     * Frees the memory of the incomplete message if it is a call; see {@link
     * RpcDecoder#discardPartialCall}.
     *
     * @return whether no memory of an incomplete message is left
     */
    boolean discardPartialCall() {
        return decoder.discardPartialCall() || partialBytes() == 0;
    }
}
