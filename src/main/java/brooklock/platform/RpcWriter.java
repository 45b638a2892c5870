package brooklock.platform;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** Answers to clients in MessagePack-RPC. Pure. */
final class RpcWriter {
    // Room for a head: fixed parts, an error's name, a few short fields.
    private static final int ROOM = 512;
    private static final byte NIL = (byte) 0xc0;

    private RpcWriter() {}

    /** Served: the head, the body as it is, and the fields behind it. */
    static ByteBuffer[] served(long number, byte[] body, Map<String, String> fields) {
        ByteBuffer head = begin(number).put(NIL).put((byte) 0x92);
        if (body.length < 0x100) {
            head.put((byte) 0xc4).put((byte) body.length);
        } else if (body.length < 0x10000) {
            head.put((byte) 0xc5).putShort((short) body.length);
        } else {
            head.put((byte) 0xc6).putInt(body.length);
        }
        ByteBuffer tail = ByteBuffer.allocate(ROOM);
        map(tail, fields);
        return new ByteBuffer[] {head.flip(), ByteBuffer.wrap(body), tail.flip()};
    }

    /** An error by its name. */
    static ByteBuffer error(long number, String name, Map<String, String> fields) {
        ByteBuffer b = begin(number).put((byte) 0x92);
        text(b, name);
        map(b, fields);
        return b.put(NIL).flip();
    }

    /** What {@code isWell} is answered. */
    static ByteBuffer well(long number, boolean well) {
        ByteBuffer b = begin(number).put(NIL).put((byte) 0x92).put((byte) (well ? 0xc3 : 0xc2));
        map(b, Map.of());
        return b.flip();
    }

    private static ByteBuffer begin(long number) {
        ByteBuffer b = ByteBuffer.allocate(ROOM).put((byte) 0x94).put((byte) 1);
        return number < 0x80 ? b.put((byte) number) : b.put((byte) 0xce).putInt((int) number);
    }

    private static void map(ByteBuffer b, Map<String, String> fields) {
        b.put((byte) (0x80 | fields.size()));
        fields.forEach(
                (k, v) -> {
                    text(b, k);
                    text(b, v);
                });
    }

    /** A short text. */
    static void text(ByteBuffer b, String s) {
        byte[] bytes = s.getBytes(StandardCharsets.UTF_8);
        if (bytes.length < 32) {
            b.put((byte) (0xa0 | bytes.length));
        } else {
            b.put((byte) 0xd9).put((byte) bytes.length);
        }
        b.put(bytes);
    }
}
