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
final class MessagePackReader {
    /** What a token is. */
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
    private BodyAccumulator payload;
    private boolean payloadIsText;
    private TokenType tokenType;
    private long value;
    private byte[] bytes;

    /** A reader for texts and byte strings of at most so many bytes. */
    MessagePackReader(int maxPayloadBytes) {
        this.maxPayloadBytes = maxPayloadBytes;
    }

    /**
     * Reads one token; false where more bytes are needed, which leaves a head that is not whole in
     * the buffer.
     */
    boolean next(ByteBuffer in) throws MalformedMessageException {
        in.order(ByteOrder.BIG_ENDIAN);
        if (payload == null && !readHead(in)) {
            return false;
        }
        if (payload != null) {
            if (!payload.append(in)) {
                return false;
            }
            bytes = payload.bytes();
            tokenType = payloadIsText ? TokenType.TEXT : TokenType.BYTES;
            payload = null;
        }
        return true;
    }

    private boolean readHead(ByteBuffer in) throws MalformedMessageException {
        if (!in.hasRemaining()) {
            return false;
        }
        int b = in.get(in.position()) & 0xff;
        int extra = extraHeadBytes(b);
        if (in.remaining() < 1 + extra) {
            return false;
        }
        in.get();
        if (b < 0x80 || b >= 0xe0) {
            setToken(TokenType.INT, (byte) b);
        } else if (b < 0x90) {
            setToken(TokenType.MAP, b & 0x0f);
        } else if (b < 0xa0) {
            setToken(TokenType.ARRAY, b & 0x0f);
        } else if (b < 0xc0) {
            beginPayload(true, b & 0x1f);
        } else {
            readTagged(in, b);
        }
        return true;
    }

    // Bytes of a head after its first.
    private static int extraHeadBytes(int b) throws MalformedMessageException {
        return switch (b) {
            case 0xc4, 0xcc, 0xd0, 0xd9 -> 1;
            case 0xc5, 0xcd, 0xd1, 0xda, 0xdc, 0xde -> 2;
            case 0xc6, 0xca, 0xce, 0xd2, 0xdb, 0xdd, 0xdf -> 4;
            case 0xcb, 0xcf, 0xd3 -> 8;
            case 0xc1, 0xc7, 0xc8, 0xc9, 0xd4, 0xd5, 0xd6, 0xd7, 0xd8 ->
                    throw new MalformedMessageException(
                            "a token that has no place here: 0x" + Integer.toHexString(b));
            default -> 0;
        };
    }

    private void readTagged(ByteBuffer in, int b) throws MalformedMessageException {
        switch (b) {
            case 0xc0 -> setToken(TokenType.NIL, 0);
            case 0xc2 -> setToken(TokenType.BOOL, 0);
            case 0xc3 -> setToken(TokenType.BOOL, 1);
            case 0xc4 -> beginPayload(false, in.get() & 0xff);
            case 0xc5 -> beginPayload(false, in.getShort() & 0xffff);
            case 0xc6 -> beginPayload(false, in.getInt() & 0xffffffffL);
            case 0xca -> setToken(TokenType.FLOAT, in.getInt());
            case 0xcb -> setToken(TokenType.FLOAT, in.getLong());
            case 0xcc -> setToken(TokenType.INT, in.get() & 0xff);
            case 0xcd -> setToken(TokenType.INT, in.getShort() & 0xffff);
            case 0xce -> setToken(TokenType.INT, in.getInt() & 0xffffffffL);
            case 0xcf -> readUnsigned(in.getLong());
            case 0xd0 -> setToken(TokenType.INT, in.get());
            case 0xd1 -> setToken(TokenType.INT, in.getShort());
            case 0xd2 -> setToken(TokenType.INT, in.getInt());
            case 0xd3 -> setToken(TokenType.INT, in.getLong());
            case 0xd9 -> beginPayload(true, in.get() & 0xff);
            case 0xda -> beginPayload(true, in.getShort() & 0xffff);
            case 0xdb -> beginPayload(true, in.getInt() & 0xffffffffL);
            case 0xdc -> setToken(TokenType.ARRAY, in.getShort() & 0xffff);
            case 0xdd -> setToken(TokenType.ARRAY, in.getInt() & 0xffffffffL);
            case 0xde -> setToken(TokenType.MAP, in.getShort() & 0xffff);
            default -> setToken(TokenType.MAP, in.getInt() & 0xffffffffL);
        }
    }

    private void readUnsigned(long number) throws MalformedMessageException {
        if (number < 0) {
            throw new MalformedMessageException("a number above 2^63");
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
                    "a string of " + length + " bytes, more than " + maxPayloadBytes);
        }
        payloadIsText = isText;
        payload = new BodyAccumulator((int) length);
    }

    /** Kind of the token read last. */
    TokenType tokenType() {
        return tokenType;
    }

    /** A number, a truth, the entries of an array or map. */
    long value() {
        return value;
    }

    /** A byte string, or a text as its bytes. */
    byte[] bytes() {
        return bytes;
    }

    /** A text. */
    String text() throws MalformedMessageException {
        try {
            CharBuffer c = StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(bytes));
            return c.toString();
        } catch (CharacterCodingException e) {
            throw new MalformedMessageException("a text that is not UTF-8");
        }
    }
}
