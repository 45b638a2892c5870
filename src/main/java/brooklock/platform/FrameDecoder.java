package brooklock.platform;

import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.zip.CRC32;

/** Frames read from any cut of bytes. Strict, with every length bounded. Pure. */
public final class FrameDecoder {
    private static final int CHECK = 4;

    private final int markOf;
    private final int least;
    private final int most;
    private int code;
    private long id;
    private Gathered fields;
    private Gathered body;
    private boolean within;
    private boolean fieldsDone;
    private boolean bodyDone;

    /** Reads what cache hosts send. */
    public FrameDecoder() {
        this(Frame.FROM_HOST, Frame.OK, Frame.GREEN);
    }

    /** Reads frames of one mark, with codes in a range. */
    FrameDecoder(int mark, int leastCode, int mostCode) {
        markOf = mark;
        least = leastCode;
        most = mostCode;
    }

    /** Reads up to the end of one frame; null where more bytes are needed. */
    public Frame next(ByteBuffer in) throws Malformed {
        in.order(ByteOrder.BIG_ENDIAN);
        if (!within && !head(in)) {
            return null;
        }
        fieldsDone = fieldsDone || fields.take(in);
        bodyDone = fieldsDone && (bodyDone || body.take(in));
        if (!bodyDone || in.remaining() < CHECK) {
            return null;
        }
        CRC32 check = new CRC32();
        check.update(fields.bytes());
        check.update(body.bytes());
        if (in.getInt() != (int) check.getValue()) {
            throw new Malformed("the check does not fit");
        }
        Frame f = new Frame(code, id, fieldsOf(fields.bytes()), body.bytes());
        within = false;
        fields = null;
        body = null;
        return f;
    }

    private boolean head(ByteBuffer in) throws Malformed {
        if (in.remaining() < Frame.HEAD) {
            return false;
        }
        int mark = in.get() & 0xff;
        code = in.get() & 0xff;
        int fieldBytes = in.getShort() & 0xffff;
        long bodyBytes = in.getInt() & 0xffffffffL;
        id = in.getLong();
        if (mark != markOf || code < least || code > most) {
            throw new Malformed("no head: mark " + mark + ", code " + code);
        }
        within = true;
        if (fieldBytes > Frame.MOST_FIELDS || bodyBytes > Frame.MOST_BODY) {
            throw new Malformed("a frame of " + fieldBytes + " and " + bodyBytes + " bytes");
        }
        fields = new Gathered(fieldBytes);
        body = new Gathered((int) bodyBytes);
        fieldsDone = false;
        bodyDone = false;
        return true;
    }

    /** Whether a frame has begun and not ended. */
    public boolean within() {
        return within;
    }

    /** Id of the frame that has begun. */
    public long id() {
        return id;
    }

    /** Reads {@code name=value,name=value}. */
    static Map<String, String> fieldsOf(byte[] text) throws Malformed {
        Map<String, String> out = new HashMap<>();
        if (text.length == 0) {
            return out;
        }
        for (String pair : new String(text, StandardCharsets.ISO_8859_1).split(",", -1)) {
            int eq = pair.indexOf('=');
            if (eq <= 0 || out.put(pair.substring(0, eq), pair.substring(eq + 1)) != null) {
                throw new Malformed("fields that can't be read");
            }
        }
        return out;
    }
}
