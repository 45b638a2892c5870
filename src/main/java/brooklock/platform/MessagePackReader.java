package brooklock.platform;

import static brooklock.platform.MessagePackFormat.ARRAY16;
import static brooklock.platform.MessagePackFormat.ARRAY32;
import static brooklock.platform.MessagePackFormat.BIN16;
import static brooklock.platform.MessagePackFormat.BIN32;
import static brooklock.platform.MessagePackFormat.BIN8;
import static brooklock.platform.MessagePackFormat.EXT16;
import static brooklock.platform.MessagePackFormat.EXT32;
import static brooklock.platform.MessagePackFormat.EXT8;
import static brooklock.platform.MessagePackFormat.FALSE;
import static brooklock.platform.MessagePackFormat.FIXARRAY;
import static brooklock.platform.MessagePackFormat.FIXEXT1;
import static brooklock.platform.MessagePackFormat.FIXEXT16;
import static brooklock.platform.MessagePackFormat.FIXEXT2;
import static brooklock.platform.MessagePackFormat.FIXEXT4;
import static brooklock.platform.MessagePackFormat.FIXEXT8;
import static brooklock.platform.MessagePackFormat.FIXMAP;
import static brooklock.platform.MessagePackFormat.FIXSTR;
import static brooklock.platform.MessagePackFormat.FLOAT32;
import static brooklock.platform.MessagePackFormat.FLOAT64;
import static brooklock.platform.MessagePackFormat.INT16;
import static brooklock.platform.MessagePackFormat.INT32;
import static brooklock.platform.MessagePackFormat.INT64;
import static brooklock.platform.MessagePackFormat.INT8;
import static brooklock.platform.MessagePackFormat.MAP16;
import static brooklock.platform.MessagePackFormat.MAP32;
import static brooklock.platform.MessagePackFormat.MAX_POSITIVE_FIXINT;
import static brooklock.platform.MessagePackFormat.MIN_NEGATIVE_FIXINT;
import static brooklock.platform.MessagePackFormat.NEVER_USED;
import static brooklock.platform.MessagePackFormat.NIL;
import static brooklock.platform.MessagePackFormat.STR16;
import static brooklock.platform.MessagePackFormat.STR32;
import static brooklock.platform.MessagePackFormat.STR8;
import static brooklock.platform.MessagePackFormat.TRUE;
import static brooklock.platform.MessagePackFormat.UINT16;
import static brooklock.platform.MessagePackFormat.UINT32;
import static brooklock.platform.MessagePackFormat.UINT64;
import static brooklock.platform.MessagePackFormat.UINT8;

import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.CharBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;

/**
 * Reads MessagePack token by token, from input split at any byte. Texts must be UTF-8, texts and
 * byte strings are bounded in length, and extension types are rejected. The formats are those of
 * {@link MessagePackFormat}. Performs no I/O; not thread-safe.
 *
 * <p>After {@link #next} has returned true, {@link #tokenType} and the accessor of that type
 * describe the token.
 */
final class MessagePackReader {
    /** The types of token. */
    enum TokenType {
        NIL,
        BOOL,
        INT,
        FLOAT,
        TEXT,
        BYTES,
        ARRAY,
        MAP
    }

    private final int maxPayloadBytes;
    private ByteAccumulator payload;
    private boolean discardsPayloads;
    private boolean payloadIsText;
    private TokenType tokenType;
    private long value;
    private byte[] bytes;

    /**
     * Creates a reader.
     *
     * @param maxPayloadBytes maximum length of a text or byte string, bytes
     */
    MessagePackReader(int maxPayloadBytes) {
        this.maxPayloadBytes = maxPayloadBytes;
    }

    /**
     * Reads the next token. Bytes of an incomplete token head remain in the buffer and must precede
     * the new bytes in the next call.
     *
     * @return true if a token was read; false if more bytes are needed
     * @throws MalformedMessageException if the format of the token is not accepted, a text or byte
     *     string is too long, or an unsigned integer is above 2^63 - 1
     */
    boolean next(ByteBuffer input) throws MalformedMessageException {
        input.order(ByteOrder.BIG_ENDIAN);
        if (payload == null && !readHead(input)) {
            return false;
        }
        if (payload != null) {
            if (!payload.append(input)) {
                return false;
            }
            bytes = payload.bytes();
            tokenType = payloadIsText ? TokenType.TEXT : TokenType.BYTES;
            payload = null;
        }
        return true;
    }

    private boolean readHead(ByteBuffer input) throws MalformedMessageException {
        if (!input.hasRemaining()) {
            return false;
        }
        int format = input.get(input.position()) & 0xff;
        if (input.remaining() < 1 + extraHeadBytes(format)) {
            return false;
        }
        input.get();
        if (format <= MAX_POSITIVE_FIXINT || format >= MIN_NEGATIVE_FIXINT) {
            setToken(TokenType.INT, (byte) format);
        } else if (format < FIXARRAY) {
            setToken(TokenType.MAP, format - FIXMAP);
        } else if (format < FIXSTR) {
            setToken(TokenType.ARRAY, format - FIXARRAY);
        } else if (format < NIL) {
            beginPayload(true, format - FIXSTR);
        } else {
            readTagged(input, format);
        }
        return true;
    }

    // Returns the number of bytes that follow the first byte of a token head.
    private static int extraHeadBytes(int format) throws MalformedMessageException {
        return switch (format) {
            case BIN8, UINT8, INT8, STR8 -> 1;
            case BIN16, UINT16, INT16, STR16, ARRAY16, MAP16 -> 2;
            case BIN32, FLOAT32, UINT32, INT32, STR32, ARRAY32, MAP32 -> 4;
            case FLOAT64, UINT64, INT64 -> 8;
            case NEVER_USED, EXT8, EXT16, EXT32, FIXEXT1, FIXEXT2, FIXEXT4, FIXEXT8, FIXEXT16 ->
                    throw new MalformedMessageException(
                            "expected a MessagePack format other than 0xc1 and the extension types"
                                    + " but received format 0x"
                                    + Integer.toHexString(format));
            default -> 0;
        };
    }

    private void readTagged(ByteBuffer input, int format) throws MalformedMessageException {
        switch (format) {
            case NIL -> setToken(TokenType.NIL, 0);
            case FALSE -> setToken(TokenType.BOOL, 0);
            case TRUE -> setToken(TokenType.BOOL, 1);
            case BIN8 -> beginPayload(false, input.get() & 0xff);
            case BIN16 -> beginPayload(false, input.getShort() & 0xffff);
            case BIN32 -> beginPayload(false, input.getInt() & 0xffffffffL);
            case FLOAT32 -> setToken(TokenType.FLOAT, input.getInt());
            case FLOAT64 -> setToken(TokenType.FLOAT, input.getLong());
            case UINT8 -> setToken(TokenType.INT, input.get() & 0xff);
            case UINT16 -> setToken(TokenType.INT, input.getShort() & 0xffff);
            case UINT32 -> setToken(TokenType.INT, input.getInt() & 0xffffffffL);
            case UINT64 -> readUnsigned(input.getLong());
            case INT8 -> setToken(TokenType.INT, input.get());
            case INT16 -> setToken(TokenType.INT, input.getShort());
            case INT32 -> setToken(TokenType.INT, input.getInt());
            case INT64 -> setToken(TokenType.INT, input.getLong());
            case STR8 -> beginPayload(true, input.get() & 0xff);
            case STR16 -> beginPayload(true, input.getShort() & 0xffff);
            case STR32 -> beginPayload(true, input.getInt() & 0xffffffffL);
            case ARRAY16 -> setToken(TokenType.ARRAY, input.getShort() & 0xffff);
            case ARRAY32 -> setToken(TokenType.ARRAY, input.getInt() & 0xffffffffL);
            case MAP16 -> setToken(TokenType.MAP, input.getShort() & 0xffff);
            default -> setToken(TokenType.MAP, input.getInt() & 0xffffffffL);
        }
    }

    private void readUnsigned(long number) throws MalformedMessageException {
        if (number < 0) {
            throw new MalformedMessageException(
                    "expected an unsigned integer of at most 2^63 - 1 but received "
                            + Long.toUnsignedString(number));
        }
        setToken(TokenType.INT, number);
    }

    private void setToken(TokenType type, long newValue) {
        tokenType = type;
        value = newValue;
    }

    private void beginPayload(boolean isText, long length) throws MalformedMessageException {
        if (length > maxPayloadBytes) {
            throw new MalformedMessageException(
                    "expected a text or byte string of at most "
                            + maxPayloadBytes
                            + " bytes but received a length of "
                            + length
                            + " bytes");
        }
        payloadIsText = isText;
        payload = new ByteAccumulator((int) length);
        if (discardsPayloads) {
            payload.discard();
        }
    }

    /**
     * Determines whether texts and byte strings are read without being kept, including one that is
     * partially read; their tokens are then empty.
     */
    void setDiscardsPayloads(boolean discards) {
        discardsPayloads = discards;
        if (discards && payload != null) {
            payload.discard();
        }
    }

    /** Returns the memory that an incomplete text or byte string occupies, bytes. */
    int partialBytes() {
        return payload == null ? 0 : payload.capacity();
    }

    /** Returns the type of the last token. */
    TokenType tokenType() {
        return tokenType;
    }

    /**
     * Returns the value of the last token: an integer, 1 for true and 0 for false, the bits of a
     * floating-point number, or the size of an array or map.
     */
    long value() {
        return value;
    }

    /** Returns the bytes of the last byte string or text, without copying them. */
    byte[] bytes() {
        return bytes;
    }

    /**
     * Returns the last text.
     *
     * @throws MalformedMessageException if its bytes are not valid UTF-8
     */
    String text() throws MalformedMessageException {
        try {
            CharBuffer chars = StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(bytes));
            return chars.toString();
        } catch (CharacterCodingException e) {
            throw new MalformedMessageException(
                    "expected a text in UTF-8 but received "
                            + bytes.length
                            + " bytes that are not valid UTF-8");
        }
    }
}
