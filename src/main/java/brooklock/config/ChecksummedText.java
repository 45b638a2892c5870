package brooklock.config;

import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;

/**
 * Text that is seen to be whole: its last line has the number of lines before it and their CRC32C
 * (RFC 3720). One that was cut, or has a bit turned, is refused.
 */
public final class ChecksummedText {
    private ChecksummedText() {}

    /** Adds the last line to a body of whole lines. */
    public static String withChecksum(String body) {
        return body + "end " + body.lines().count() + " " + checksum(body) + "\n";
    }

    /** The lines of a sealed text without the last; a damaged one throws. */
    public static String[] verifiedLines(String text) {
        int end = text.lastIndexOf("\nend ") + 1;
        String body = text.substring(0, end);
        if (end == 0 || !text.equals(withChecksum(body))) {
            throw new IllegalArgumentException(
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
