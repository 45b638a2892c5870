package brooklock.platform;

import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.zip.CRC32;

/**
 * Decodes frames incrementally, from input split at any byte. Rejects everything that is not a
 * valid frame, and checks every length before memory is allocated for it. Performs no I/O; not
 * thread-safe. A decoder must not be used again after it has thrown an exception.
 */
public final class FrameDecoder {
    /** Length of the checksum at the end of a frame, bytes. */
    static final int CHECKSUM_BYTES = 4;

    private final int expectedMagic;
    private final int minCode;
    private final int maxCode;
    private int code;
    private long frameId;
    private ByteAccumulator fields;
    private ByteAccumulator body;
    private boolean hasPartialFrame;
    private boolean fieldsComplete;
    private boolean bodyComplete;

    /** Creates a decoder of frames from endpoints. */
    public FrameDecoder() {
        this(Frame.ENDPOINT_MAGIC, Frame.OK, Frame.HEALTHY);
    }

    /**
     * Creates a decoder of frames from either side.
     *
     * @param expectedMagic the first byte of every frame
     * @param minCode the lowest accepted code
     * @param maxCode the highest accepted code
     */
    FrameDecoder(int expectedMagic, int minCode, int maxCode) {
        this.expectedMagic = expectedMagic;
        this.minCode = minCode;
        this.maxCode = maxCode;
    }

    /**
     * Decodes the next frame. Reads at most one frame from the buffer. Bytes of an incomplete
     * header or checksum remain in the buffer and must precede the new bytes in the next call.
     *
     * @return the next frame, or null if more bytes are needed
     * @throws MalformedMessageException if the input is not a valid frame
     */
    public Frame next(ByteBuffer input) throws MalformedMessageException {
        input.order(ByteOrder.BIG_ENDIAN);
        if (!hasPartialFrame && !readHeader(input)) {
            return null;
        }
        fieldsComplete = fieldsComplete || fields.append(input);
        bodyComplete = fieldsComplete && (bodyComplete || body.append(input));
        if (!bodyComplete || input.remaining() < CHECKSUM_BYTES) {
            return null;
        }
        CRC32 checksum = new CRC32();
        checksum.update(fields.bytes());
        checksum.update(body.bytes());
        if (input.getInt() != (int) checksum.getValue()) {
            throw new MalformedMessageException(
                    "the checksum does not match: expected 0x"
                            + Integer.toHexString((int) checksum.getValue())
                            + " at the end of a frame with code "
                            + code
                            + " but received 0x"
                            + Integer.toHexString(input.getInt(input.position() - CHECKSUM_BYTES)));
        }
        Frame frame = new Frame(code, frameId, parseFields(fields.bytes()), body.bytes());
        hasPartialFrame = false;
        fields = null;
        body = null;
        return frame;
    }

    private boolean readHeader(ByteBuffer input) throws MalformedMessageException {
        if (input.remaining() < Frame.HEADER_BYTES) {
            return false;
        }
        int magic = input.get() & 0xff;
        code = input.get() & 0xff;
        int fieldBytes = input.getShort() & 0xffff;
        long bodyBytes = input.getInt() & 0xffffffffL;
        frameId = input.getLong();
        if (magic != expectedMagic || code < minCode || code > maxCode) {
            throw new MalformedMessageException(
                    "no header: expected magic byte "
                            + expectedMagic
                            + " and a code from "
                            + minCode
                            + " to "
                            + maxCode
                            + " but received magic byte "
                            + magic
                            + " and code "
                            + code);
        }
        hasPartialFrame = true;
        if (fieldBytes > Frame.MAX_FIELDS_BYTES || bodyBytes > Frame.MAX_BODY_BYTES) {
            throw new MalformedMessageException(
                    "expected a frame header with at most "
                            + Frame.MAX_FIELDS_BYTES
                            + " bytes of fields and "
                            + Frame.MAX_BODY_BYTES
                            + " bytes of body but received lengths of "
                            + fieldBytes
                            + " and "
                            + bodyBytes
                            + " bytes");
        }
        fields = new ByteAccumulator(fieldBytes);
        body = new ByteAccumulator((int) bodyBytes);
        fieldsComplete = false;
        bodyComplete = false;
        return true;
    }

    /** Returns whether the header of a frame has been decoded but the frame is incomplete. */
    public boolean hasPartialFrame() {
        return hasPartialFrame;
    }

    /** Returns the memory that an incomplete frame occupies, bytes; 0 if there is none. */
    int partialBytes() {
        return hasPartialFrame ? fields.capacity() + body.capacity() : 0;
    }

    /** Returns the id of the frame whose header was decoded last. */
    public long frameId() {
        return frameId;
    }

    /**
     * Parses fields of the form {@code name=value,name=value}.
     *
     * @return the values by name
     * @throws MalformedMessageException if a field has no name or no {@code =}, or occurs twice
     */
    static Map<String, String> parseFields(byte[] bytes) throws MalformedMessageException {
        Map<String, String> values = new HashMap<>();
        if (bytes.length == 0) {
            return values;
        }
        for (String pair : new String(bytes, StandardCharsets.ISO_8859_1).split(",", -1)) {
            int separator = pair.indexOf('=');
            if (separator <= 0
                    || values.put(pair.substring(0, separator), pair.substring(separator + 1))
                            != null) {
                throw new MalformedMessageException(
                        "expected fields of the form name=value with distinct names but received a"
                                + " field of "
                                + pair.length()
                                + " characters that has no name, no '=' or a repeated name");
            }
        }
        return values;
    }
}
