package brooklock.config;

import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;

/**
 * Text whose last line holds the number of lines before it and their CRC32C (RFC 3720), so that a
 * file that was cut short or damaged is detected and not used in part.
 */
public final class ChecksummedText {
    private ChecksummedText() {}

    /** Returns a body of whole lines with the last line added. */
    public static String withChecksum(String body) {
        return body + "end " + body.lines().count() + " " + checksum(body) + "\n";
    }

    /**
     * Checks a text and returns its lines without the last.
     *
     * @throws DamagedTextException if it was cut short or damaged
     */
    public static String[] verifiedLines(String text) {
        int end = text.lastIndexOf("\nend ") + 1;
        String body = text.substring(0, end);
        if (end == 0 || !text.equals(withChecksum(body))) {
            throw new DamagedTextException(
                    "it was cut short or damaged: its last line does not fit");
        }
        return body.split("\n");
    }

    private static String checksum(String text) {
        CRC32C crc = new CRC32C();
        crc.update(text.getBytes(StandardCharsets.UTF_8));
        return Long.toHexString(crc.getValue());
    }
}
