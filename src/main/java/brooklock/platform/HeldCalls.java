package brooklock.platform;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The calls of one connection that have been received and are not submitted yet. They are held
 * until no input is left, so that a call which is cancelled, or whose client has closed the
 * connection, does not reach an endpoint. The time is bounded, because there may always be input
 * left. Not thread-safe; owned by the I/O thread.
 */
final class HeldCalls {
    // Maximum time for which calls are held because more input follows them, ns.
    private static final long MAX_HOLD_NS = 100_000_000L;

    private final Map<Long, RpcMessage.Call> callsByMessageId = new LinkedHashMap<>();
    private long bodyBytes;
    private long heldSinceNs;

    /** Adds a call, whose message id must not be held. */
    void add(RpcMessage.Call call) {
        if (callsByMessageId.isEmpty()) {
            heldSinceNs = System.nanoTime();
        }
        callsByMessageId.put(call.messageId(), call);
        bodyBytes += call.body().length;
    }

    /** Removes the call with a message id and returns whether there was one. */
    boolean remove(long messageId) {
        RpcMessage.Call removed = callsByMessageId.remove(messageId);
        bodyBytes -= removed == null ? 0 : removed.body().length;
        return removed != null;
    }

    /** Removes all calls and returns them in the order in which they were added. */
    List<RpcMessage.Call> removeAll() {
        List<RpcMessage.Call> calls = List.copyOf(callsByMessageId.values());
        callsByMessageId.clear();
        bodyBytes = 0;
        return calls;
    }

    /**
     * Returns whether the calls are to be submitted now.
     *
     * @param drained whether no input is left on the connection
     */
    boolean isDue(boolean drained) {
        return !callsByMessageId.isEmpty()
                && (drained || System.nanoTime() - heldSinceNs >= MAX_HOLD_NS);
    }

    boolean contains(long messageId) {
        return callsByMessageId.containsKey(messageId);
    }

    boolean isEmpty() {
        return callsByMessageId.isEmpty();
    }

    int count() {
        return callsByMessageId.size();
    }

    /** Returns the number of bytes in the bodies of all calls. */
    int bodyBytes() {
        return Math.toIntExact(bodyBytes);
    }
}
