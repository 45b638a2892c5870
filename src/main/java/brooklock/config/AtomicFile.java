package brooklock.config;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;

/** Replaces the content of files atomically. Thread-safe for calls with different paths. */
public final class AtomicFile {
    private AtomicFile() {}

    /**
     * Replaces the content of a file. A reader, or a process that restarts after a crash, finds
     * either the whole old content or the whole new content. The text is first written to a file in
     * the same directory with the suffix {@code .new}, which is then renamed. Blocks on file I/O.
     *
     * @param force whether to force the text to the disk before the old content is replaced;
     *     otherwise a crash of the machine may leave an empty file
     * @throws IOException if the file cannot be written; it then keeps its old content
     */
    public static void replace(Path path, String text, boolean force) throws IOException {
        Path temporary = path.resolveSibling(path.getFileName() + ".new");
        try (FileChannel channel =
                FileChannel.open(
                        temporary,
                        StandardOpenOption.CREATE,
                        StandardOpenOption.WRITE,
                        StandardOpenOption.TRUNCATE_EXISTING)) {
            ByteBuffer bytes = StandardCharsets.UTF_8.encode(text);
            while (bytes.hasRemaining()) {
                channel.write(bytes);
            }
            if (force) {
                channel.force(true);
            }
        }
        Files.move(
                temporary,
                path,
                StandardCopyOption.ATOMIC_MOVE,
                StandardCopyOption.REPLACE_EXISTING);
    }
}
