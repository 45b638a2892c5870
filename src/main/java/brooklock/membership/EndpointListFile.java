package brooklock.membership;

import brooklock.config.AtomicFile;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;

/**
 * The file in which the endpoint list is saved. After a crash it is the only record of removals and
 * overrides, so the file is replaced atomically, and nothing is loaded from a damaged file.
 *
 * <p>The methods block on file I/O and must not be called on the routing thread or on I/O threads.
 */
public final class EndpointListFile {
    private final Path path;

    /** Creates a new accessor for the file at the given path. The file need not exist. */
    public EndpointListFile(Path path) {
        this.path = path;
    }

    /**
     * Reads the state that was saved last, as input for {@link Membership#restore}. Returns empty
     * if the file does not exist.
     *
     * @throws IOException if the file cannot be read, is truncated or is damaged
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
     * Replaces the content of the file. The state is on disk when this method returns.
     *
     * @throws IOException if the file cannot be written; its previous content is then unchanged
     */
    public void save(Membership.State state) throws IOException {
        AtomicFile.replace(path, MembershipStateCodec.encode(state), true);
    }
}
