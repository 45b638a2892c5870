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
 * Saves the state of cache warming to a file and loads it after a restart of the dispatcher.
 * Without the file, the restarted dispatcher would treat a partly warm cache as cold or as warm and
 * send it too little or too much load.
 */
final class WarmingSnapshotStore {
    private static final Logger LOG = LoggerFactory.getLogger(WarmingSnapshotStore.class);

    private final Path path;
    private final BackgroundFileWriter writer;

    WarmingSnapshotStore(Path path, BackgroundFileWriter writer) {
        this.path = path;
        this.writer = writer;
    }

    /** Saves a snapshot on the writing thread. A failure is logged and otherwise ignored. */
    void save(List<SnapshotEntry> entries) {
        String text = WarmingSnapshotCodec.encode(System.currentTimeMillis(), entries);
        writer.execute(
                () -> {
                    try {
                        AtomicFile.replace(path, text, false);
                    } catch (IOException e) {
                        LOG.error("warming snapshot could not be saved to {}", path, e);
                    }
                });
    }

    /**
     * Loads the last snapshot. Returns an empty value if there is none, or if it cannot be read or
     * is damaged, which is logged.
     */
    Optional<WarmingSnapshotCodec.WarmingSnapshot> load() {
        try {
            return Optional.of(
                    WarmingSnapshotCodec.decode(Files.readString(path, StandardCharsets.UTF_8)));
        } catch (NoSuchFileException ignored) {
            return Optional.empty();
        } catch (IOException | IllegalArgumentException e) {
            LOG.warn(
                    "warming snapshot ignored; starting without saved warming state: {}",
                    e.getMessage());
            return Optional.empty();
        }
    }
}
