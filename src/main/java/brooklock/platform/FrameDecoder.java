package brooklock.platform;

import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.zip.CRC32;

/**
 * Decodes frames, incrementally from any cut of bytes. Strict, with every length bounded before
 * memory is taken for it. Pure.
 */
public final class FrameDecoder {
    /** Length of the checksum that ends a frame, bytes. */
    static final int CHECKSUM_BYTES = 4;

    private final int expectedMark;
    private final int minCode;
    private final int maxCode;
    private int code;
    private long id;
    private ByteAccumulator fields;
    private ByteAccumulator body;
    private boolean inFrame;
    private boolean fieldsComplete;
    private boolean bodyComplete;

    /** Creates a decoder of what endpoints send. */
    public FrameDecoder() {
        this(Frame.ENDPOINT_MARK, Frame.OK, Frame.HEALTHY);
    }

    /**
     * Creates a decoder.
     *
     * @param expectedMark first byte of every frame
     * @param minCode lowest code that is accepted
     * @param maxCode highest code that is accepted
     */
    FrameDecoder(int expectedMark, int minCode, int maxCode) {
        this.expectedMark = expectedMark;
        this.minCode = minCode;
        this.maxCode = maxCode;
    }

    /**
     * Reads up to the end of one frame.
     *
     * @return the next frame, or null if more bytes are needed
     * @throws MalformedMessageException if the bytes are none
     */
    public Frame next(ByteBuffer in) throws MalformedMessageException {
        in.order(ByteOrder.BIG_ENDIAN);
        if (!inFrame && !readHeader(in)) {
            return null;
        }
        fieldsComplete = fieldsComplete || fields.append(in);
        bodyComplete = fieldsComplete && (bodyComplete || body.append(in));
        if (!bodyComplete || in.remaining() < CHECKSUM_BYTES) {
            return null;
        }
        CRC32 checksum = new CRC32();
        checksum.update(fields.bytes());
        checksum.update(body.bytes());
        if (in.getInt() != (int) checksum.getValue()) {
            throw new MalformedMessageException("the checksum does not match");
        }
        Frame frame = new Frame(code, id, parseFields(fields.bytes()), body.bytes());
        inFrame = false;
        fields = null;
        body = null;
        return frame;
    }

    private boolean readHeader(ByteBuffer in) throws MalformedMessageException {
        if (in.remaining() < Frame.HEADER_BYTES) {
            return false;
        }
        int mark = in.get() & 0xff;
        code = in.get() & 0xff;
        int fieldBytes = in.getShort() & 0xffff;
        long bodyBytes = in.getInt() & 0xffffffffL;
        id = in.getLong();
        if (mark != expectedMark || code < minCode || code > maxCode) {
            throw new MalformedMessageException("no header: mark " + mark + ", code " + code);
        }
        inFrame = true;
        if (fieldBytes > Frame.MAX_FIELDS_BYTES || bodyBytes > Frame.MAX_BODY_BYTES) {
            throw new MalformedMessageException(
                    "a frame of " + fieldBytes + " and " + bodyBytes + " bytes");
        }
        fields = new ByteAccumulator(fieldBytes);
        body = new ByteAccumulator((int) bodyBytes);
        fieldsComplete = false;
        bodyComplete = false;
        return true;
    }

    /** Returns whether a frame has begun and not ended. */
    public boolean inFrame() {
        return inFrame;
    }

    /** Returns the id of the frame that has begun. */
    public long id() {
        return id;
    }

    /**
     * Parses fields, {@code name=value,name=value}.
     *
     * @throws MalformedMessageException if a field has no name or comes twice
     */
    static Map<String, String> parseFields(byte[] text) throws MalformedMessageException {
        Map<String, String> out = new HashMap<>();
        if (text.length == 0) {
            return out;
        }
        for (String pair : new String(text, StandardCharsets.ISO_8859_1).split(",", -1)) {
            int separator = pair.indexOf('=');
            if (separator <= 0
                    || out.put(pair.substring(0, separator), pair.substring(separator + 1))
                            != null) {
                throw new MalformedMessageException("fields that can't be read");
            }
        }
        return out;
    }
}
