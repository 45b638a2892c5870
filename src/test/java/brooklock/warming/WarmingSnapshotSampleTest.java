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

/** A warming snapshot that an earlier version has written, as an updated dispatcher finds it. */
class WarmingSnapshotSampleTest {
    private static String sample() throws IOException {
        try (InputStream in =
                WarmingSnapshotSampleTest.class.getResourceAsStream("warming.saved")) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    @Test
    @DisplayName("is read, and written back with the same bytes")
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

    // A dispatcher was killed while it wrote, or the disk has lost a bit.
    @Test
    @DisplayName("is rejected whole if it is cut or a bit is flipped")
    void damaged() throws IOException {
        String sample = sample();
        for (int i = 0; i < sample.length(); i++) {
            String cut = sample.substring(0, i);
            assertThrows(
                    IllegalArgumentException.class, () -> WarmingSnapshotCodec.decode(cut), cut);
            char flipped = (char) (sample.charAt(i) ^ 1);
            String damaged = cut + flipped + sample.substring(i + 1);
            assertThrows(
                    IllegalArgumentException.class,
                    () -> WarmingSnapshotCodec.decode(damaged),
                    damaged);
        }
    }
}
