package brooklock.config;

import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;

/**
 * Computes the id of an endpoint. The id depends on the name alone, so that every dispatcher hashes
 * an object to the same endpoint.
 */
public final class EndpointId {
    private EndpointId() {}

    /** Returns the id of the endpoint named {@code name}, from 1 to 2^32 - 1. */
    public static long of(String name) {
        CRC32C crc = new CRC32C();
        crc.update(name.getBytes(StandardCharsets.UTF_8));
        return Math.max(1, crc.getValue());
    }
}
