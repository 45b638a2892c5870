package brooklock.proxy;

import brooklock.membership.EndpointListFile;
import brooklock.membership.Membership;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Saves the endpoint list on the writing thread.
 *
 * <p>Of several lists that wait only the newest is written: with a slow disk and many changes the
 * list on disk would otherwise fall further and further behind. Whoever waits for a list is
 * notified once it, or a newer one, is on disk.
 *
 * <p>One thread, the routing thread, saves, and one, the writing thread, writes; they meet in two
 * variables. {@code pendingSave} is changed atomically by both. {@code lastSaved} is written by the
 * writing thread only; the routing thread reads it, and an old value makes it save once more than
 * needed, never once less.
 */
final class EndpointListStore {
    private static final Logger LOG = LoggerFactory.getLogger(EndpointListStore.class);

    /** Notified when a save has ended. */
    interface SaveListener {
        /**
         * The save has ended; called on the writing thread, or at once where there is nothing to
         * write.
         *
         * @param failure why it is not on disk; empty if it is, or need not be
         */
        void onSaved(Optional<IOException> failure);
    }

    private record PendingSave(Membership.State state, List<SaveListener> listeners) {
        PendingSave replacedBy(Membership.State newer, SaveListener listener) {
            List<SaveListener> all = new ArrayList<>(listeners);
            all.add(listener);
            return new PendingSave(newer, all);
        }
    }

    private final Optional<EndpointListFile> file;
    private final BackgroundFileWriter writer;
    private final AtomicReference<PendingSave> pendingSave = new AtomicReference<>();
    private volatile Membership.State lastSaved;

    /**
     * Makes a store.
     *
     * @param path where the list is saved; null saves nothing
     */
    EndpointListStore(Path path, BackgroundFileWriter writer) {
        this(Optional.ofNullable(path).map(EndpointListFile::new), writer);
    }

    private EndpointListStore(Optional<EndpointListFile> file, BackgroundFileWriter writer) {
        this.file = file;
        this.writer = writer;
    }

    /**
     * Loads the list that was saved last.
     *
     * @throws IOException if the file cannot be read or is damaged
     */
    Optional<Membership.State> load() throws IOException {
        return file.isPresent() ? file.get().load() : Optional.empty();
    }

    /** Saves a list; called by the routing thread only, so that the newest is the last saved. */
    void save(Membership.State state, SaveListener listener) {
        if (file.isEmpty() || isOnDisk(state)) {
            listener.onSaved(Optional.empty());
            return;
        }
        PendingSave previous =
                pendingSave.getAndUpdate(
                        pending ->
                                pending == null
                                        ? new PendingSave(state, List.of(listener))
                                        : pending.replacedBy(state, listener));
        if (previous == null) {
            writer.execute(() -> writePending(file.get()));
        }
    }

    // States are immutable and each change makes another, so the same object is the same list, and
    // one that is equal but another object is only written again. Comparing by value would compare
    // thousands of endpoints on the routing thread.
    @SuppressWarnings("ReferenceEquality")
    private boolean isOnDisk(Membership.State state) {
        return pendingSave.get() == null && lastSaved == state;
    }

    private void writePending(EndpointListFile target) {
        PendingSave pending = pendingSave.getAndSet(null);
        Optional<IOException> failure = Optional.empty();
        try {
            target.save(pending.state());
            lastSaved = pending.state();
        } catch (IOException e) {
            failure = Optional.of(e);
            LOG.error("the list cannot be saved; the previous one is used after a restart", e);
        }
        for (SaveListener listener : pending.listeners()) {
            listener.onSaved(failure);
        }
    }
}
