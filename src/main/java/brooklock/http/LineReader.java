package brooklock.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Reads lines that end in CR LF. A bare CR, a bare LF and a line over its limit are rejected, since
 * readers disagree about where such lines end.
 */
final class LineReader {
    private byte[] line = new byte[256];
    private int length;
    private boolean afterCr;

    /**
     * Reads on to the end of the line.
     *
     * @param maxBytes limit of the line without its end
     * @param tooLongStatus status of the error where the limit is exceeded
     * @param badMessageStatus status of other errors
     * @return the line without its end, or null when the buffer is used up first
     */
    String next(ByteBuffer in, int maxBytes, int tooLongStatus, int badMessageStatus)
            throws HttpProtocolException {
        while (in.hasRemaining()) {
            byte b = in.get();
            if (afterCr) {
                if (b != '\n') {
                    throw new HttpProtocolException(badMessageStatus, "CR without LF");
                }
                afterCr = false;
                String complete = new String(line, 0, length, StandardCharsets.ISO_8859_1);
                length = 0;
                return complete;
            } else if (b == '\r') {
                afterCr = true;
            } else if (b == '\n') {
                throw new HttpProtocolException(badMessageStatus, "LF without CR");
            } else if (length == maxBytes) {
                throw new HttpProtocolException(
                        tooLongStatus, "line of over " + maxBytes + " bytes");
            } else {
                if (length == line.length) {
                    line = Arrays.copyOf(line, Math.min(maxBytes, 2 * length));
                }
                line[length++] = b;
            }
        }
        return null;
    }

    /** Whether nothing of a line has arrived yet. */
    boolean isEmpty() {
        return length == 0 && !afterCr;
    }
}
