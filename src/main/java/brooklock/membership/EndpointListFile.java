package brooklock.membership;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;

/** The last list, on disk: all that a dispatcher that was killed has when it is back. */
public final class EndpointListFile {
    private final Path path;

    /** At a path. */
    public EndpointListFile(Path path) {
        this.path = path;
    }

    /**
     * What was in force when it was saved last, or null where nothing was.
     *
     * @throws IOException where the file cannot be read or is not a whole list
     */
    public Membership.State load() throws IOException {
        if (!Files.exists(path)) {
            return null;
        }
        try {
            return EndpointRegistryCodec.decode(Files.readString(path, StandardCharsets.UTF_8));
        } catch (IllegalArgumentException e) {
            throw new IOException(path + ": " + e.getMessage());
        }
    }

    /** Saves it whole, forced out to disk. */
    public void save(Membership.State state) throws IOException {
        replaceAtomically(path, EndpointRegistryCodec.encode(state), true);
    }

    /**
     * Puts a text in place of a file, whole: written beside, forced out if that is asked for, then
     * moved there.
     */
    public static void replaceAtomically(Path path, String text, boolean force) throws IOException {
        Path beside = path.resolveSibling(path.getFileName() + ".new");
        try (FileChannel out =
                FileChannel.open(
                        beside,
                        StandardOpenOption.CREATE,
                        StandardOpenOption.WRITE,
                        StandardOpenOption.TRUNCATE_EXISTING)) {
            ByteBuffer b = StandardCharsets.UTF_8.encode(text);
            while (b.hasRemaining()) {
                out.write(b);
            }
            if (force) {
                out.force(true);
            }
        }
        Files.move(
                beside, path, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }
}
