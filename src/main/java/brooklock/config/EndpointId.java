package brooklock.config;

import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;

/**
 * An endpoint's number. It is made of the name alone, so that every dispatcher hashes an object to
 * the same endpoint.
 */
public final class EndpointId {
    private EndpointId() {}

    /** The number of a name, from 1 to 2^32 - 1. */
    public static long of(String name) {
        CRC32C crc = new CRC32C();
        crc.update(name.getBytes(StandardCharsets.UTF_8));
        return Math.max(1, crc.getValue());
    }
}
