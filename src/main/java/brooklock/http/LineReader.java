package brooklock.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Reads lines that end in CR LF. A bare CR and a bare LF are rejected, since parsers disagree about
 * whether they end a line; a line that exceeds its limit is rejected at once, so that it occupies
 * no more memory than the limit.
 *
 * <p>Not thread-safe. One reader serves the lines of a connection one after another.
 */
final class LineReader {
    private byte[] line = new byte[256];
    private int length;
    private boolean afterCr;

    /**
     * Reads up to the end of the current line. If the buffer ends first, the next call continues
     * it.
     *
     * @param input the received bytes, which are consumed up to the end of the line
     * @param maxBytes maximum length of the line without CR LF, bytes
     * @param tooLongStatus status code of the error if the line exceeds {@code maxBytes}
     * @param badMessageStatus status code of the other errors
     * @return the line without CR LF, or null if the buffer is used up first
     * @throws HttpProtocolException if the line is too long, or has a bare CR or a bare LF
     */
    String next(ByteBuffer input, int maxBytes, int tooLongStatus, int badMessageStatus)
            throws HttpProtocolException {
        while (input.hasRemaining()) {
            byte octet = input.get();
            if (afterCr) {
                if (octet != '\n') {
                    throw new HttpProtocolException(badMessageStatus, "CR without LF");
                }
                afterCr = false;
                String complete = new String(line, 0, length, StandardCharsets.ISO_8859_1);
                length = 0;
                return complete;
            } else if (octet == '\r') {
                afterCr = true;
            } else if (octet == '\n') {
                throw new HttpProtocolException(badMessageStatus, "LF without CR");
            } else if (length == maxBytes) {
                throw new HttpProtocolException(
                        tooLongStatus, "line of over " + maxBytes + " bytes");
            } else {
                if (length == line.length) {
                    line = Arrays.copyOf(line, Math.min(maxBytes, 2 * length));
                }
                line[length++] = octet;
            }
        }
        return null;
    }

    /** Returns whether no byte of the current line has been read. */
    boolean isEmpty() {
        return length == 0 && !afterCr;
    }
}
