package brooklock.config;

import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;

/**
 * Text that is seen to be whole: its last line has the number of lines before it and their CRC32C
 * (RFC 3720). One that was cut, or has a bit turned, is refused.
 */
public final class Sealed {
    private Sealed() {}

    /** Adds the last line to a body of whole lines. */
    public static String seal(String body) {
        return body + "end " + body.lines().count() + " " + sum(body) + "\n";
    }

    /** The lines of a sealed text without the last; a damaged one throws. */
    public static String[] open(String text) {
        int end = text.lastIndexOf("\nend ") + 1;
        String body = text.substring(0, end);
        if (end == 0 || !text.equals(seal(body))) {
            throw new IllegalArgumentException(
                    "it was cut short or damaged: its last line does not fit");
        }
        return body.split("\n");
    }

    private static String sum(String text) {
        CRC32C crc = new CRC32C();
        crc.update(text.getBytes(StandardCharsets.UTF_8));
        return Long.toHexString(crc.getValue());
    }
}
