package brooklock.credentials;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests reloading a value when its files change. */
class WatchedFileTest {
    @TempDir Path dir;
    private final List<String> changes = new ArrayList<>();

    private WatchedFile<Integer> watch(Path path) throws IOException {
        return new WatchedFile<>(
                "file",
                List.of(path),
                previous -> Integer.parseInt(Files.readString(path)),
                changes::add);
    }

    // While a key file of a running dispatcher is replaced, it may be half-written, invalid or
    // temporarily missing. The dispatcher must always have keys in force.
    @Test
    @DisplayName("valid new content is loaded, otherwise the previous value stays in force")
    void reload() throws IOException {
        Path path = dir.resolve("f");
        Files.writeString(path, "1");
        WatchedFile<Integer> watched = watch(path);
        Files.writeString(path, "22");
        assertFalse(watched.poll(), "content that has just changed may be half-written");
        assertTrue(watched.poll());
        assertEquals(22, watched.get());
        assertEquals(List.of("file: taken anew"), changes);
        Files.writeString(path, "2x2");
        watched.poll();
        assertFalse(watched.poll());
        assertEquals(22, watched.get());
        assertNotNull(watched.lastError());
        assertTrue(
                changes.get(1).startsWith("file: refused, the one before stays in force: "),
                changes.get(1));
        watched.poll();
        assertEquals(2, changes.size(), "a failure is reported once");
        Files.delete(path);
        watched.poll();
        watched.poll();
        assertEquals(22, watched.get());
        Files.writeString(path, "3333");
        watched.poll();
        assertTrue(watched.poll());
        assertNull(watched.lastError());
    }

    @Test
    @DisplayName("a file that cannot be used at the first load is an error")
    void unusableAtStart() throws IOException {
        Path path = dir.resolve("f");
        Files.writeString(path, "x");
        IOException error = assertThrows(IOException.class, () -> watch(path));
        assertTrue(error.getMessage().startsWith("file: "), error.getMessage());
    }
}
