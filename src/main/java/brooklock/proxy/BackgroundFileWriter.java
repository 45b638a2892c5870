package brooklock.proxy;

import java.io.Closeable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;

/**
 * Runs file writes on one dedicated thread, because a slow disk must block neither the routing
 * thread nor an I/O thread. Tasks run one at a time in the order of submission. Thread-safe.
 */
final class BackgroundFileWriter implements Closeable {
    private static final long CLOSE_TIMEOUT_S = 1;

    private final ExecutorService executor =
            Executors.newSingleThreadExecutor(
                    task -> {
                        Thread thread = new Thread(task, "file-writer");
                        thread.setDaemon(true);
                        return thread;
                    });

    /** Submits a task to the writing thread. The task is dropped after {@link #close}. */
    void execute(Runnable task) {
        try {
            executor.execute(task);
        } catch (RejectedExecutionException ignored) {
            // The dispatcher is closed, so nothing more is written.
        }
    }

    /** Rejects new tasks and waits up to one second for the submitted ones. */
    @Override
    public void close() {
        executor.shutdown();
        try {
            executor.awaitTermination(CLOSE_TIMEOUT_S, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
