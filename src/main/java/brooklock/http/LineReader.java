package brooklock.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Lines that end in CR LF, from buffers of any cut. A bare CR, a bare LF and a line over its bound
 * are refused.
 */
final class LineReader {
    private byte[] line = new byte[256];
    private int length;
    private boolean afterCr;

    /** The next whole line without its end, or null when the buffer ran out first. */
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

    /** Whether nothing of a line has come yet. */
    boolean isEmpty() {
        return length == 0 && !afterCr;
    }
}
