package brooklock.platform;

import static brooklock.platform.MessagePackFormat.BIN16;
import static brooklock.platform.MessagePackFormat.BIN32;
import static brooklock.platform.MessagePackFormat.BIN8;
import static brooklock.platform.MessagePackFormat.FALSE;
import static brooklock.platform.MessagePackFormat.FIXARRAY;
import static brooklock.platform.MessagePackFormat.FIXMAP;
import static brooklock.platform.MessagePackFormat.FIXSTR;
import static brooklock.platform.MessagePackFormat.MAX_FIXSTR_BYTES;
import static brooklock.platform.MessagePackFormat.MAX_POSITIVE_FIXINT;
import static brooklock.platform.MessagePackFormat.NIL;
import static brooklock.platform.MessagePackFormat.STR8;
import static brooklock.platform.MessagePackFormat.TRUE;
import static brooklock.platform.MessagePackFormat.UINT32;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * Encodes MessagePack-RPC messages: responses to clients, and the calls of the start-up warm-up.
 * Stateless and thread-safe.
 */
final class RpcEncoder {
    // Buffer capacity for everything but the body: fixed elements, an error name and a few short
    // fields.
    static final int HEAD_CAPACITY_BYTES = 512;
    private static final long NS_PER_MS = 1_000_000L;

    private static final int MESSAGE_ARRAY = FIXARRAY | 4;
    private static final int PAIR_ARRAY = FIXARRAY | 2;
    private static final int SINGLE_ARRAY = FIXARRAY | 1;
    private static final int CALL_TYPE = 0;
    private static final int RESPONSE_TYPE = 1;

    private static final byte[] NO_BODY = {};
    private static final Map<String, String> NO_FIELDS = Map.of();
    private static final Map<String, String> NOT_MODIFIED_FIELDS = Map.of("notmod", "1");

    private RpcEncoder() {}

    /** Encodes a response with the bytes of an object. The body is not copied. */
    static ByteBuffer[] served(long messageId, byte[] body) {
        return result(messageId, body, NO_FIELDS);
    }

    /** Encodes a response without a body, which states that the client's copy is current. */
    static ByteBuffer[] notModified(long messageId) {
        return result(messageId, NO_BODY, NOT_MODIFIED_FIELDS);
    }

    private static ByteBuffer[] result(long messageId, byte[] body, Map<String, String> fields) {
        ByteBuffer head = beginResponse(messageId).put((byte) NIL).put((byte) PAIR_ARRAY);
        putBytesHead(head, body.length);
        ByteBuffer tail = ByteBuffer.allocate(HEAD_CAPACITY_BYTES);
        putMap(tail, fields);
        return new ByteBuffer[] {head.flip(), ByteBuffer.wrap(body), tail.flip()};
    }

    /**
     * Encodes a rejection.
     *
     * @param messageId the id of the call
     * @param retryAfterNs the delay after which the client may retry, ns; 0 to omit it
     */
    static ByteBuffer rejected(long messageId, long retryAfterNs) {
        return retryAfterNs > 0
                ? error(
                        messageId,
                        RpcError.REJECTED,
                        Map.of("w", Long.toString(Math.max(1, retryAfterNs / NS_PER_MS))))
                : error(messageId, RpcError.REJECTED);
    }

    /** Encodes an error response without fields. */
    static ByteBuffer error(long messageId, RpcError error) {
        return error(messageId, error, NO_FIELDS);
    }

    private static ByteBuffer error(long messageId, RpcError error, Map<String, String> fields) {
        ByteBuffer buffer = beginResponse(messageId).put((byte) PAIR_ARRAY);
        putText(buffer, error.wireName());
        putMap(buffer, fields);
        return buffer.put((byte) NIL).flip();
    }

    /** Encodes the response to a health check. */
    static ByteBuffer health(long messageId, boolean healthy) {
        ByteBuffer buffer =
                beginResponse(messageId)
                        .put((byte) NIL)
                        .put((byte) PAIR_ARRAY)
                        .put((byte) (healthy ? TRUE : FALSE));
        putMap(buffer, NO_FIELDS);
        return buffer.flip();
    }

    /** Encodes a health check, as a client sends it. */
    static ByteBuffer healthCheck(long messageId) {
        ByteBuffer buffer = beginCall(messageId, HEAD_CAPACITY_BYTES);
        putText(buffer, RpcDecoder.HEALTH_CHECK_METHOD);
        return buffer.put((byte) SINGLE_ARRAY).put((byte) FIXMAP).flip();
    }

    /**
     * Encodes a request, as a client sends it.
     *
     * @param messageId the id of the call
     * @param method the name of the request class
     * @param namesAndValues the fields, each name followed by its value; at most 15 fields
     * @param body the body; empty for none
     */
    static ByteBuffer call(long messageId, String method, String[] namesAndValues, byte[] body) {
        ByteBuffer buffer = beginCall(messageId, HEAD_CAPACITY_BYTES + body.length);
        putText(buffer, method);
        buffer.put((byte) PAIR_ARRAY).put((byte) (FIXMAP | namesAndValues.length / 2));
        for (String text : namesAndValues) {
            putText(buffer, text);
        }
        putBytesHead(buffer, body.length);
        return buffer.put(body).flip();
    }

    private static ByteBuffer beginCall(long messageId, int capacity) {
        ByteBuffer buffer =
                ByteBuffer.allocate(capacity).put((byte) MESSAGE_ARRAY).put((byte) CALL_TYPE);
        return putMessageId(buffer, messageId);
    }

    private static ByteBuffer beginResponse(long messageId) {
        ByteBuffer buffer =
                ByteBuffer.allocate(HEAD_CAPACITY_BYTES)
                        .put((byte) MESSAGE_ARRAY)
                        .put((byte) RESPONSE_TYPE);
        return putMessageId(buffer, messageId);
    }

    private static ByteBuffer putMessageId(ByteBuffer buffer, long messageId) {
        return messageId <= MAX_POSITIVE_FIXINT
                ? buffer.put((byte) messageId)
                : buffer.put((byte) UINT32).putInt((int) messageId);
    }

    private static void putBytesHead(ByteBuffer buffer, int length) {
        if (length < 0x100) {
            buffer.put((byte) BIN8).put((byte) length);
        } else if (length < 0x10000) {
            buffer.put((byte) BIN16).putShort((short) length);
        } else {
            buffer.put((byte) BIN32).putInt(length);
        }
    }

    private static void putMap(ByteBuffer buffer, Map<String, String> fields) {
        buffer.put((byte) (FIXMAP | fields.size()));
        for (Map.Entry<String, String> field : fields.entrySet()) {
            putText(buffer, field.getKey());
            putText(buffer, field.getValue());
        }
    }

    /** Appends a text of at most 255 bytes in UTF-8. */
    static void putText(ByteBuffer buffer, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        if (bytes.length <= MAX_FIXSTR_BYTES) {
            buffer.put((byte) (FIXSTR | bytes.length));
        } else {
            buffer.put((byte) STR8).put((byte) bytes.length);
        }
        buffer.put(bytes);
    }
}
