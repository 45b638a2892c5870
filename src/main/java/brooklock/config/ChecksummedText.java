package brooklock.config;

import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;

/**
 * Text whose last line states the number of the lines before it and their CRC32C (RFC 3720), so
 * that a truncated or damaged file is detected and rejected as a whole.
 */
public final class ChecksummedText {
    private ChecksummedText() {}

    /**
     * Returns {@code body}, which must consist of complete lines, followed by the checksum line.
     */
    public static String withChecksum(String body) {
        return body + "end " + body.lines().count() + " " + checksum(body) + "\n";
    }

    /**
     * Verifies the checksum line of a text and returns the lines before it.
     *
     * @throws DamagedTextException if the checksum line is missing or does not match the text
     */
    public static String[] verifiedLines(String text) {
        int end = text.lastIndexOf("\nend ") + 1;
        String body = text.substring(0, end);
        if (end == 0 || !text.equals(withChecksum(body))) {
            throw new DamagedTextException(
                    "expected a last line with the number of lines and the checksum of the text but"
                            + " it is missing or does not match: the text of "
                            + text.length()
                            + " characters was truncated or damaged");
        }
        return body.split("\n");
    }

    private static String checksum(String text) {
        CRC32C crc = new CRC32C();
        crc.update(text.getBytes(StandardCharsets.UTF_8));
        return Long.toHexString(crc.getValue());
    }
}
