package brooklock.platform;

import java.util.Map;

/** A message from a client. Immutable; fields and bodies must not be modified. */
public sealed interface RpcMessage {
    /**
     * Returns the id of the call that is made or cancelled, unique among the open calls of its
     * connection.
     */
    long messageId();

    /**
     * A call that carries a request.
     *
     * @param messageId the id of the call
     * @param method the name of the request class
     * @param fields the values of the fields by name, not validated yet
     * @param body the body; empty if the call has none
     */
    @SuppressWarnings("ArrayRecordComponent") // Never compared; not copied, to save memory.
    record Call(long messageId, String method, Map<String, String> fields, byte[] body)
            implements RpcMessage {}

    /**
     * A call whose fields and body were discarded while it was received; see {@link
     * RpcDecoder#discardPartialCall}.
     *
     * @param messageId the id of the call
     */
    record DiscardedCall(long messageId) implements RpcMessage {}

    /**
     * A call that asks whether the dispatcher accepts new clients.
     *
     * @param messageId the id of the call
     */
    record HealthCheck(long messageId) implements RpcMessage {}

    /**
     * A notification that cancels a call. The client expects no response to that call any more.
     *
     * @param messageId the id of the cancelled call
     */
    record Cancel(long messageId) implements RpcMessage {}
}
