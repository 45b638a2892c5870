package brooklock.platform;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32;

/** Encodes frames. Pure. */
final class FrameEncoder {
    private FrameEncoder() {}

    /** Encodes a frame of a dispatcher. */
    static ByteBuffer encode(int code, long id, String fields, byte[] body) {
        return encode(Frame.DISPATCHER_MARK, code, id, fields, body);
    }

    /**
     * Encodes a frame of either side.
     *
     * @param mark first byte of the frame
     * @param code what it is
     * @param id the id of the request that it belongs to
     * @param fields its fields as they go on the wire
     * @param body its body
     */
    static ByteBuffer encode(int mark, int code, long id, String fields, byte[] body) {
        byte[] fieldBytes = fields.getBytes(StandardCharsets.ISO_8859_1);
        CRC32 checksum = new CRC32();
        checksum.update(fieldBytes);
        checksum.update(body);
        int length =
                Frame.HEADER_BYTES + fieldBytes.length + body.length + FrameDecoder.CHECKSUM_BYTES;
        return ByteBuffer.allocate(length)
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
