package brooklock.platform;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32;

/** Frames to and from cache hosts. Pure. */
final class FrameWriter {
    private FrameWriter() {}

    /** A frame of a dispatcher with its fields as they go on the wire. */
    static ByteBuffer frame(int code, long id, String fields, byte[] body) {
        return frame(Frame.FROM_DISPATCHER, code, id, fields, body);
    }

    /** A frame of either side. */
    static ByteBuffer frame(int mark, int code, long id, String fields, byte[] body) {
        byte[] f = fields.getBytes(StandardCharsets.ISO_8859_1);
        CRC32 check = new CRC32();
        check.update(f);
        check.update(body);
        return ByteBuffer.allocate(Frame.HEAD + f.length + body.length + 4)
                .put((byte) mark)
                .put((byte) code)
                .putShort((short) f.length)
                .putInt(body.length)
                .putLong(id)
                .put(f)
                .put(body)
                .putInt((int) check.getValue())
                .flip();
    }
}
