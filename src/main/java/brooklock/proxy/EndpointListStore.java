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
 * Saves the endpoint list to a file.
 *
 * <p>If several lists are pending, only the newest is written. With a slow disk and many changes,
 * the list on disk would otherwise fall further and further behind. A listener is notified once its
 * list, or a newer one, is on disk.
 *
 * <p>The routing thread calls {@link #save} and the writing thread writes. They share two
 * variables: {@code pendingSave} is updated atomically by both; {@code lastSaved} is written by the
 * writing thread only. If the routing thread reads an old value of {@code lastSaved}, it saves a
 * list once more than necessary, but never omits a save.
 */
final class EndpointListStore {
    private static final Logger LOG = LoggerFactory.getLogger(EndpointListStore.class);

    /** Receives the result of a save. */
    interface SaveListener {
        /**
         * Called when a save has ended: on the writing thread, or on the calling thread before
         * {@link EndpointListStore#save} returns if there is nothing to write.
         *
         * @param failure the reason why the list is not on disk; empty if it is on disk or is not
         *     to be saved
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
     * Creates a new store.
     *
     * @param path the file in which the list is saved, or null if it is not to be saved
     */
    EndpointListStore(Path path, BackgroundFileWriter writer) {
        this(Optional.ofNullable(path).map(EndpointListFile::new), writer);
    }

    private EndpointListStore(Optional<EndpointListFile> file, BackgroundFileWriter writer) {
        this.file = file;
        this.writer = writer;
    }

    /**
     * Loads the list that was saved last. Returns an empty value if there is none.
     *
     * @throws IOException if the file cannot be read or is damaged
     */
    Optional<Membership.State> load() throws IOException {
        return file.isPresent() ? file.get().load() : Optional.empty();
    }

    /**
     * Saves a list. Must be called on the routing thread only, so that the newest list is the last
     * one saved.
     */
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

    // States are immutable and each change creates a new one, so identical references mean an
    // unchanged list. An equal list in another object is merely written again. Comparison by value
    // would compare thousands of endpoints on the routing thread.
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
            LOG.error("endpoint list not saved; a restart will use the previously saved list", e);
        }
        for (SaveListener listener : pending.listeners()) {
            listener.onSaved(failure);
        }
    }
}
