package brooklock.platform;

import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.CharBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;

/**
 * MessagePack (its published specification) read token by token from any cut of bytes. Strict:
 * texts are UTF-8, lengths within the bound that the caller states. Pure.
 */
final class PackReader {
    /** What a token is. */
    enum Kind {
        NIL,
        BOOL,
        INT,
        FLOAT,
        TEXT,
        BYTES,
        ARRAY,
        MAP
    }

    private final int longest;
    private Gathered payload;
    private boolean text;
    private Kind kind;
    private long number;
    private byte[] bytes;

    /** A reader for texts and byte strings of at most so many bytes. */
    PackReader(int longest) {
        this.longest = longest;
    }

    /**
     * Reads one token; false where more bytes are needed, which leaves a head that is not whole in
     * the buffer.
     */
    boolean next(ByteBuffer in) throws Malformed {
        in.order(ByteOrder.BIG_ENDIAN);
        if (payload == null && !head(in)) {
            return false;
        }
        if (payload != null) {
            if (!payload.take(in)) {
                return false;
            }
            bytes = payload.bytes();
            kind = text ? Kind.TEXT : Kind.BYTES;
            payload = null;
        }
        return true;
    }

    private boolean head(ByteBuffer in) throws Malformed {
        if (!in.hasRemaining()) {
            return false;
        }
        int b = in.get(in.position()) & 0xff;
        int extra = extra(b);
        if (in.remaining() < 1 + extra) {
            return false;
        }
        in.get();
        if (b < 0x80 || b >= 0xe0) {
            is(Kind.INT, (byte) b);
        } else if (b < 0x90) {
            is(Kind.MAP, b & 0x0f);
        } else if (b < 0xa0) {
            is(Kind.ARRAY, b & 0x0f);
        } else if (b < 0xc0) {
            begins(true, b & 0x1f);
        } else {
            tagged(in, b);
        }
        return true;
    }

    // Bytes of a head after its first.
    private static int extra(int b) throws Malformed {
        return switch (b) {
            case 0xc4, 0xcc, 0xd0, 0xd9 -> 1;
            case 0xc5, 0xcd, 0xd1, 0xda, 0xdc, 0xde -> 2;
            case 0xc6, 0xca, 0xce, 0xd2, 0xdb, 0xdd, 0xdf -> 4;
            case 0xcb, 0xcf, 0xd3 -> 8;
            case 0xc1, 0xc7, 0xc8, 0xc9, 0xd4, 0xd5, 0xd6, 0xd7, 0xd8 ->
                    throw new Malformed(
                            "a token that has no place here: 0x" + Integer.toHexString(b));
            default -> 0;
        };
    }

    private void tagged(ByteBuffer in, int b) throws Malformed {
        switch (b) {
            case 0xc0 -> is(Kind.NIL, 0);
            case 0xc2 -> is(Kind.BOOL, 0);
            case 0xc3 -> is(Kind.BOOL, 1);
            case 0xc4 -> begins(false, in.get() & 0xff);
            case 0xc5 -> begins(false, in.getShort() & 0xffff);
            case 0xc6 -> begins(false, in.getInt() & 0xffffffffL);
            case 0xca -> is(Kind.FLOAT, in.getInt());
            case 0xcb -> is(Kind.FLOAT, in.getLong());
            case 0xcc -> is(Kind.INT, in.get() & 0xff);
            case 0xcd -> is(Kind.INT, in.getShort() & 0xffff);
            case 0xce -> is(Kind.INT, in.getInt() & 0xffffffffL);
            case 0xcf -> unsigned(in.getLong());
            case 0xd0 -> is(Kind.INT, in.get());
            case 0xd1 -> is(Kind.INT, in.getShort());
            case 0xd2 -> is(Kind.INT, in.getInt());
            case 0xd3 -> is(Kind.INT, in.getLong());
            case 0xd9 -> begins(true, in.get() & 0xff);
            case 0xda -> begins(true, in.getShort() & 0xffff);
            case 0xdb -> begins(true, in.getInt() & 0xffffffffL);
            case 0xdc -> is(Kind.ARRAY, in.getShort() & 0xffff);
            case 0xdd -> is(Kind.ARRAY, in.getInt() & 0xffffffffL);
            case 0xde -> is(Kind.MAP, in.getShort() & 0xffff);
            default -> is(Kind.MAP, in.getInt() & 0xffffffffL);
        }
    }

    private void unsigned(long n) throws Malformed {
        if (n < 0) {
            throw new Malformed("a number above 2^63");
        }
        is(Kind.INT, n);
    }

    private void is(Kind k, long n) {
        kind = k;
        number = n;
    }

    private void begins(boolean isText, long length) throws Malformed {
        if (length > longest) {
            throw new Malformed("a string of " + length + " bytes, more than " + longest);
        }
        text = isText;
        payload = new Gathered((int) length);
    }

    /** Kind of the token read last. */
    Kind kind() {
        return kind;
    }

    /** A number, a truth, the entries of an array or map. */
    long number() {
        return number;
    }

    /** A byte string, or a text as its bytes. */
    byte[] bytes() {
        return bytes;
    }

    /** A text. */
    String text() throws Malformed {
        try {
            CharBuffer c = StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(bytes));
            return c.toString();
        } catch (CharacterCodingException e) {
            throw new Malformed("a text that is not UTF-8");
        }
    }
}
