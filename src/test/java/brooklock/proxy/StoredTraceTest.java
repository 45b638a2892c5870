package brooklock.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * A trace that an earlier build stored. Operators keep traces of incidents; a renamed type or
 * constant must not make them unreadable.
 */
class StoredTraceTest {
    /** Some lines from the end, among them actions that follow their event. */
    private static final int MAX_REMOVED_CHARS = 600;

    private static Path storedTrace() throws URISyntaxException {
        return Path.of(StoredTraceTest.class.getResource("stored.trace").toURI());
    }

    @Test
    void replaysWithoutADifference() throws Exception {
        TraceReplay.Result result = TraceReplay.replay(storedTrace());
        assertEquals(Optional.empty(), result.difference());
        assertEquals(196, result.events());
        assertEquals(222, result.actions());
    }

    @Test
    void everyRecordIsWrittenBackToTheSameText() throws Exception {
        List<String> lines = Files.readAllLines(storedTrace());
        int records = 0;
        for (String line : lines) {
            int open = line.indexOf('(');
            if (open >= 0) {
                String record = line.substring(line.lastIndexOf(' ', open) + 1);
                assertEquals(record, TraceCodec.encode(TraceCodec.decode(record)));
                records++;
            }
        }
        assertTrue(records > 400, "records: " + records);
    }

    /**
     * A writer is killed within a line, also within its first word. The half line is left out; it
     * is no decision that differs.
     */
    @Test
    void truncatedTraceReplaysWithoutADifference(@TempDir Path directory) throws Exception {
        String whole = Files.readString(storedTrace());
        Path truncated = directory.resolve("cut.trace");
        for (int length = whole.length() - MAX_REMOVED_CHARS; length < whole.length(); length++) {
            Files.writeString(truncated, whole.substring(0, length));
            assertEquals(
                    Optional.empty(),
                    TraceReplay.replay(truncated).difference(),
                    "cut at " + length);
        }
    }
}
