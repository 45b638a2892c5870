package brooklock.platform;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/** Feeds decoders with bytes that come in pieces, as from a connection. */
final class DecoderTestUtil {
    /** The method of a decoder that reads one message, or null if more bytes are needed. */
    interface Decoder<T> {
        T next(ByteBuffer in) throws MalformedMessageException;
    }

    private DecoderTestUtil() {}

    /**
     * Decodes bytes that come in two pieces; what is left of the first stands before the second.
     */
    static <T> List<T> decode(Decoder<T> decoder, byte[] bytes, int cut)
            throws MalformedMessageException {
        List<T> messages = new ArrayList<>();
        ByteBuffer in = ByteBuffer.allocate(bytes.length);
        for (int[] piece : new int[][] {{0, cut}, {cut, bytes.length}}) {
            in.put(bytes, piece[0], piece[1] - piece[0]).flip();
            for (T message = decoder.next(in); message != null; message = decoder.next(in)) {
                messages.add(message);
            }
            in.compact();
        }
        return messages;
    }

    /** Returns the bytes of hexadecimal digits; blanks between them are skipped. */
    static byte[] hex(String text) {
        String digits = text.replace(" ", "");
        byte[] bytes = new byte[digits.length() / 2];
        for (int i = 0; i < bytes.length; i++) {
            bytes[i] = (byte) Integer.parseInt(digits.substring(2 * i, 2 * i + 2), 16);
        }
        return bytes;
    }
}
