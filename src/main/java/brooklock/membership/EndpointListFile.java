package brooklock.membership;

import brooklock.config.AtomicFile;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;

/**
 * The saved endpoint list. It is all that a dispatcher knows when it restarts after a crash, so a
 * file is replaced whole and a damaged one is rejected whole. Blocks on file I/O: not for the
 * routing thread nor for I/O threads.
 */
public final class EndpointListFile {
    private final Path path;

    /** Creates an accessor for the file at a path; the file need not exist. */
    public EndpointListFile(Path path) {
        this.path = path;
    }

    /**
     * Reads the state that was saved last, for {@link Membership#restore}; empty if there is no
     * file.
     *
     * @throws IOException if the file cannot be read, or is not a whole list
     */
    public Optional<Membership.State> load() throws IOException {
        if (!Files.exists(path)) {
            return Optional.empty();
        }
        try {
            return Optional.of(
                    MembershipStateCodec.decode(Files.readString(path, StandardCharsets.UTF_8)));
        } catch (IllegalArgumentException e) {
            throw new IOException(path + ": " + e.getMessage(), e);
        }
    }

    /**
     * Replaces the file; when this returns the state is on the disk.
     *
     * @throws IOException if it cannot be written; the file is then as it was
     */
    public void save(Membership.State state) throws IOException {
        AtomicFile.replace(path, MembershipStateCodec.encode(state), true);
    }
}
