package brooklock.platform;

import java.util.Map;

/** A message of a client. Immutable. */
public sealed interface RpcMessage {
    /** Returns the id of the call that it makes or cancels, unique on its connection. */
    long messageId();

    /**
     * A request.
     *
     * @param messageId the id of the call
     * @param method the name of the request's class
     * @param fields its fields, not checked yet
     * @param body its body; empty if there is none
     */
    @SuppressWarnings(
            "ArrayRecordComponent") // Never compared; a copy of each body would be wasted.
    record Call(long messageId, String method, Map<String, String> fields, byte[] body)
            implements RpcMessage {}

    /**
     * A question whether the dispatcher wants new clients.
     *
     * @param messageId the id of the call
     */
    record HealthCheck(long messageId) implements RpcMessage {}

    /**
     * Cancels a call; no response is owed any more.
     *
     * @param messageId the id of that call
     */
    record Cancel(long messageId) implements RpcMessage {}
}
