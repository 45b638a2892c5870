package brooklock.platform;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** Answers to clients in MessagePack-RPC. Pure. */
final class RpcEncoder {
    // Room for a head: fixed parts, an error's name, a few short fields.
    private static final int HEAD_CAPACITY_BYTES = 512;
    private static final byte NIL = (byte) 0xc0;

    private RpcEncoder() {}

    /** Served: the head, the body as it is, and the fields behind it. */
    static ByteBuffer[] served(long messageId, byte[] body, Map<String, String> fields) {
        ByteBuffer head = beginResponse(messageId).put(NIL).put((byte) 0x92);
        if (body.length < 0x100) {
            head.put((byte) 0xc4).put((byte) body.length);
        } else if (body.length < 0x10000) {
            head.put((byte) 0xc5).putShort((short) body.length);
        } else {
            head.put((byte) 0xc6).putInt(body.length);
        }
        ByteBuffer tail = ByteBuffer.allocate(HEAD_CAPACITY_BYTES);
        putMap(tail, fields);
        return new ByteBuffer[] {head.flip(), ByteBuffer.wrap(body), tail.flip()};
    }

    /** An error by its name. */
    static ByteBuffer error(long messageId, String name, Map<String, String> fields) {
        ByteBuffer buffer = beginResponse(messageId).put((byte) 0x92);
        putText(buffer, name);
        putMap(buffer, fields);
        return buffer.put(NIL).flip();
    }

    /** What {@code isWell} is answered. */
    static ByteBuffer health(long messageId, boolean healthy) {
        ByteBuffer buffer =
                beginResponse(messageId)
                        .put(NIL)
                        .put((byte) 0x92)
                        .put((byte) (healthy ? 0xc3 : 0xc2));
        putMap(buffer, Map.of());
        return buffer.flip();
    }

    private static ByteBuffer beginResponse(long messageId) {
        ByteBuffer buffer = ByteBuffer.allocate(HEAD_CAPACITY_BYTES).put((byte) 0x94).put((byte) 1);
        return messageId < 0x80
                ? buffer.put((byte) messageId)
                : buffer.put((byte) 0xce).putInt((int) messageId);
    }

    private static void putMap(ByteBuffer buffer, Map<String, String> fields) {
        buffer.put((byte) (0x80 | fields.size()));
        fields.forEach(
                (k, v) -> {
                    putText(buffer, k);
                    putText(buffer, v);
                });
    }

    /** A short text. */
    static void putText(ByteBuffer buffer, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        if (bytes.length < 32) {
            buffer.put((byte) (0xa0 | bytes.length));
        } else {
            buffer.put((byte) 0xd9).put((byte) bytes.length);
        }
        buffer.put(bytes);
    }
}
