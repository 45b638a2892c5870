package brooklock.platform;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32;

/** Encodes frames. Stateless and thread-safe. */
final class FrameEncoder {
    private FrameEncoder() {}

    /**
     * Encodes a frame from a dispatcher.
     *
     * @param code the type of the frame
     * @param id the id of the request that the frame belongs to
     * @param fields the fields in the form {@code name=value,name=value}; empty for none
     * @param body the body; empty for none
     */
    static ByteBuffer encode(int code, long id, String fields, byte[] body) {
        return encode(Frame.DISPATCHER_MAGIC, code, id, fields, body);
    }

    /**
     * Encodes a frame from either side.
     *
     * @param magic the first byte of the frame
     * @param code the type of the frame
     * @param id the id of the request that the frame belongs to
     * @param fields the fields in the form {@code name=value,name=value}; empty for none
     * @param body the body; empty for none
     */
    static ByteBuffer encode(int magic, int code, long id, String fields, byte[] body) {
        byte[] fieldBytes = fields.getBytes(StandardCharsets.ISO_8859_1);
        CRC32 checksum = new CRC32();
        checksum.update(fieldBytes);
        checksum.update(body);
        int length =
                Frame.HEADER_BYTES + fieldBytes.length + body.length + FrameDecoder.CHECKSUM_BYTES;
        return ByteBuffer.allocate(length)
                .put((byte) magic)
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
