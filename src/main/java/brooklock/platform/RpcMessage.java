package brooklock.platform;

import java.util.Map;

/** A message of a client. */
public sealed interface RpcMessage {
    /**
     * A call that wants an answer.
     *
     * @param number the message's id on its connection
     * @param method a class, or {@code isWell}
     * @param fields its fields
     * @param body its body; empty where there is none
     */
    record Call(long messageId, String method, Map<String, String> fields, byte[] body)
            implements RpcMessage {}

    /** A call is given up: no answer is owed. */
    record Cancel(long messageId) implements RpcMessage {}
}
