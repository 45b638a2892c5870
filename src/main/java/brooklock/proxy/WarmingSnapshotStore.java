package brooklock.proxy;

import brooklock.config.AtomicFile;
import brooklock.warming.CacheWarming.SnapshotEntry;
import brooklock.warming.WarmingSnapshotCodec;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps what was learned of caches that warm up, through a restart of the dispatcher. Without it a
 * restart would send a cache that is half warm the load of a cold one, or of a warm one.
 */
final class WarmingSnapshotStore {
    private static final Logger LOG = LoggerFactory.getLogger(WarmingSnapshotStore.class);

    private final Path path;
    private final BackgroundFileWriter writer;

    WarmingSnapshotStore(Path path, BackgroundFileWriter writer) {
        this.path = path;
        this.writer = writer;
    }

    /** Saves a snapshot on the writing thread. One that cannot be saved is logged. */
    void save(List<SnapshotEntry> entries) {
        String text = WarmingSnapshotCodec.encode(System.currentTimeMillis(), entries);
        writer.execute(
                () -> {
                    try {
                        AtomicFile.replace(path, text, false);
                    } catch (IOException e) {
                        LOG.error("the warming snapshot cannot be saved", e);
                    }
                });
    }

    /**
     * Loads the last snapshot; empty at the first start and where it is damaged, which is logged.
     */
    Optional<WarmingSnapshotCodec.WarmingSnapshot> load() {
        try {
            return Optional.of(
                    WarmingSnapshotCodec.decode(Files.readString(path, StandardCharsets.UTF_8)));
        } catch (NoSuchFileException ignored) {
            return Optional.empty();
        } catch (IOException | IllegalArgumentException e) {
            LOG.warn("the warming snapshot is not used: {}", e.getMessage());
            return Optional.empty();
        }
    }
}
