package brooklock.warming;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import brooklock.warming.CacheWarming.SnapshotEntry;
import brooklock.warming.WarmingSnapshotCodec.WarmingSnapshot;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

/** Tests that an updated dispatcher loads a warming snapshot written by an earlier version. */
class WarmingSnapshotSampleTest {
    private static String sample() throws IOException {
        try (InputStream in =
                WarmingSnapshotSampleTest.class.getResourceAsStream("warming.saved")) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    @Test
    @DisplayName("a saved snapshot is loaded, and written back byte for byte")
    void roundTrip() throws IOException {
        WarmingSnapshot snapshot = WarmingSnapshotCodec.decode(sample());
        assertEquals(1796275641813L, snapshot.savedAtMs());
        assertEquals(
                List.of(
                        new SnapshotEntry(0x66a94008L, 1796275640331L, 1, 0.5),
                        new SnapshotEntry(0x879230ffL, 0, 1, 0.5)),
                snapshot.entries());
        assertEquals(
                sample(), WarmingSnapshotCodec.encode(snapshot.savedAtMs(), snapshot.entries()));
    }

    // A snapshot is damaged if the dispatcher was killed while writing it, or if the disk flipped a
    // bit.
    @Test
    @DisplayName("a snapshot that is truncated or has a flipped bit is rejected whole")
    void damaged() throws IOException {
        String sample = sample();
        for (int i = 0; i < sample.length(); i++) {
            String truncated = sample.substring(0, i);
            assertThrows(
                    IllegalArgumentException.class,
                    () -> WarmingSnapshotCodec.decode(truncated),
                    truncated);
            char flipped = (char) (sample.charAt(i) ^ 1);
            String damaged = truncated + flipped + sample.substring(i + 1);
            assertThrows(
                    IllegalArgumentException.class,
                    () -> WarmingSnapshotCodec.decode(damaged),
                    damaged);
        }
    }
}
