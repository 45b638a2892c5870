package brooklock.proxy;

import brooklock.membership.EndpointListFile;
import brooklock.membership.Membership;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Saves the list beside the traffic: only the newest waits to be written. Whoever waits for a state
 * to be saved is told once it, or a newer one, is on disk.
 */
final class EndpointListStore {
    private static final Logger LOG = LoggerFactory.getLogger(EndpointListStore.class);

    /**
     * Told whether it was saved; called on the writer's thread, or at once where nothing is saved.
     */
    interface SaveListener {
        void onSaved(String problem);
    }

    private record PendingSave(Membership.State state, List<SaveListener> listeners) {}

    private final EndpointListFile file;
    private final AtomicReference<PendingSave> pendingSave = new AtomicReference<>();
    // What is on disk, as far as this has put it there.
    private volatile Membership.State lastSaved;
    private final ExecutorService writer =
            Executors.newSingleThreadExecutor(
                    r -> {
                        Thread t = new Thread(r, "list-writer");
                        t.setDaemon(true);
                        return t;
                    });

    EndpointListStore(Path path) {
        file = path == null ? null : new EndpointListFile(path);
    }

    /**
     * Saves a state; on the decision thread alone, so that the newest is the one handed in last.
     */
    void save(Membership.State state, SaveListener listener) {
        if (file == null || pendingSave.get() == null && lastSaved == state) {
            listener.onSaved(null);
            return;
        }
        PendingSave previous =
                pendingSave.getAndUpdate(
                        pending -> {
                            List<SaveListener> listeners =
                                    new ArrayList<>(
                                            pending == null ? List.of() : pending.listeners());
                            listeners.add(listener);
                            return new PendingSave(state, listeners);
                        });
        if (previous == null) {
            writer.execute(this::writePending);
        }
    }

    private void writePending() {
        PendingSave pending = pendingSave.getAndSet(null);
        String problem = null;
        try {
            file.save(pending.state());
            lastSaved = pending.state();
        } catch (IOException e) {
            problem = String.valueOf(e.getMessage());
            LOG.error("the list cannot be saved; after a restart the one before is taken", e);
        }
        for (SaveListener listener : pending.listeners()) {
            listener.onSaved(problem);
        }
    }

    /** Other work with files, on the same thread; dropped once this is closed. */
    void runInBackground(Runnable task) {
        try {
            writer.execute(task);
        } catch (RejectedExecutionException closed) {
            // The program ends.
        }
    }

    void close() {
        writer.shutdown();
        try {
            writer.awaitTermination(1, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
