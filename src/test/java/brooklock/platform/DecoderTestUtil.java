package brooklock.platform;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/** Utilities for tests of incremental decoders. */
final class DecoderTestUtil {
    /** Decodes the next message, or returns null if more bytes are needed. */
    interface Decoder<T> {
        T next(ByteBuffer input) throws MalformedMessageException;
    }

    private DecoderTestUtil() {}

    /**
     * Decodes bytes that arrive in two pieces, as from a connection. Bytes that the decoder leaves
     * in the buffer precede the second piece.
     *
     * @param splitIndex the index of the first byte of the second piece
     * @return all decoded messages
     */
    static <T> List<T> decode(Decoder<T> decoder, byte[] bytes, int splitIndex)
            throws MalformedMessageException {
        List<T> messages = new ArrayList<>();
        ByteBuffer input = ByteBuffer.allocate(bytes.length);
        for (int[] piece : new int[][] {{0, splitIndex}, {splitIndex, bytes.length}}) {
            input.put(bytes, piece[0], piece[1] - piece[0]).flip();
            for (T message = decoder.next(input); message != null; message = decoder.next(input)) {
                messages.add(message);
            }
            input.compact();
        }
        return messages;
    }

    /** Parses hexadecimal digits into bytes and ignores blanks. */
    static byte[] parseHex(String text) {
        String digits = text.replace(" ", "");
        byte[] bytes = new byte[digits.length() / 2];
        for (int i = 0; i < bytes.length; i++) {
            bytes[i] = (byte) Integer.parseInt(digits.substring(2 * i, 2 * i + 2), 16);
        }
        return bytes;
    }
}
