package brooklock.platform;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32;

/** Frames to and from cache hosts. Pure. */
final class FrameEncoder {
    private FrameEncoder() {}

    /** A frame of a dispatcher with its fields as they go on the wire. */
    static ByteBuffer encode(int code, long id, String fields, byte[] body) {
        return encode(Frame.DISPATCHER_MARK, code, id, fields, body);
    }

    /** A frame of either side. */
    static ByteBuffer encode(int mark, int code, long id, String fields, byte[] body) {
        byte[] fieldBytes = fields.getBytes(StandardCharsets.ISO_8859_1);
        CRC32 checksum = new CRC32();
        checksum.update(fieldBytes);
        checksum.update(body);
        return ByteBuffer.allocate(Frame.HEADER_BYTES + fieldBytes.length + body.length + 4)
                .put((byte) mark)
                .put((byte) code)
                .putShort((short) fieldBytes.length)
                .putInt(body.length)
                .putLong(id)
                .put(fieldBytes)
                .put(body)
                .putInt((int) checksum.getValue())
                .flip();
    }
}
