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
    private boolean sawCr;

    /** The next whole line without its end, or null when the buffer ran out first. */
    String next(ByteBuffer in, int most, int tooLong, int bad) throws HttpProblem {
        while (in.hasRemaining()) {
            byte b = in.get();
            if (sawCr) {
                if (b != '\n') {
                    throw new HttpProblem(bad, "CR without LF");
                }
                sawCr = false;
                String s = new String(line, 0, length, StandardCharsets.ISO_8859_1);
                length = 0;
                return s;
            } else if (b == '\r') {
                sawCr = true;
            } else if (b == '\n') {
                throw new HttpProblem(bad, "LF without CR");
            } else if (length == most) {
                throw new HttpProblem(tooLong, "line of over " + most + " bytes");
            } else {
                if (length == line.length) {
                    line = Arrays.copyOf(line, Math.min(most, 2 * length));
                }
                line[length++] = b;
            }
        }
        return null;
    }

    /** Whether nothing of a line has come yet. */
    boolean atStart() {
        return length == 0 && !sawCr;
    }
}
