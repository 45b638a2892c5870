package brooklock.config;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;

/** Replaces files in one step. */
public final class AtomicFile {
    private AtomicFile() {}

    /**
     * Replaces a file's content: a reader, or a restart after a crash, finds the old content or the
     * new one and never a part. The text is first written to a file beside it, with the suffix
     * {@code .new}. Blocks on file I/O.
     *
     * @param force whether to force the text to the disk before the old content goes; without it a
     *     crash of the machine may leave an empty file
     * @throws IOException if the file cannot be written; it is then as it was
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
