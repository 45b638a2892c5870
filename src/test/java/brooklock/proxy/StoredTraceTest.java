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
 * Tests that a trace stored by an earlier version is readable. Operators keep traces of incidents,
 * so a renamed type or constant must not make them unreadable.
 */
class StoredTraceTest {
    /**
     * The maximum number of characters removed from the end of the trace. These span several lines,
     * including actions that follow their event.
     */
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
     * The writer was killed within a line, possibly within its first word. The incomplete line must
     * be ignored and not reported as a difference.
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
                    "truncated at " + length);
        }
    }
}
